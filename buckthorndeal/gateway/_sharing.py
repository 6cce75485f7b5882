"""What a host tells others of endpoints, crashing requests and streams."""

from buckthorndeal.fleet import EndpointRecord, EvidenceUpdate, RateLimitUpdate
from buckthorndeal.gateway._decision_log import log_quarantine_change
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._fleet_messages import EndpointProbed
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import spawn_job
from buckthorndeal.wire import Message


class Sharing:
    """Sends the coordinators what the dispatcher has learned, and logs it.

    Parameters
    ----------
    dispatcher : Dispatcher
        Learns from the attempts of this host.
    mailbox : Mailbox
        Receives the results of probes.
    metrics : Metrics
        Metrics of the daemon.
    effects : DispatchEffects
        Sends messages, and probes endpoints.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        mailbox: Mailbox,
        metrics: Metrics,
        effects: DispatchEffects,
    ) -> None:
        self._dispatcher = dispatcher
        self._mailbox = mailbox
        self._metrics = metrics
        self._effects = effects

    def describe_all(self, now_s: float) -> list[Message]:
        """Return messages that tell a coordinator all that is shared."""
        messages: list[Message] = []
        evidence = self._dispatcher.crash_guard.quarantine.export(now_s)
        if evidence:
            messages.append(EvidenceUpdate(evidence))
        limits = self._dispatcher.view.rate_shares.export()
        if limits:
            messages.append(RateLimitUpdate(limits))
        return messages

    async def handle_crash_news(self, now_s: float) -> None:
        """Act on new evidence of requests that crash endpoints."""
        news = self._dispatcher.crash_guard.take_news(now_s)
        for end in news.ends:
            self._metrics.count("endpoint_ends")
            log_event(
                "endpoint_ended",
                endpoint=end.endpoint,
                incarnation=end.incarnation,
                suspects=[suspect.key for suspect in end.suspects],
            )
        for change in news.changes:
            active = str(change.decision.active).lower()
            self._metrics.count("quarantine_decisions", active=active)
            log_quarantine_change(change)
        if news.evidence:
            await spawn_job(self._effects.share, EvidenceUpdate(news.evidence))
        for record in news.probes:
            await spawn_job(self._probe_endpoint, record)

    async def share_rate_limits(self, now_s: float) -> None:
        """Tell other hosts which rate limits have changed."""
        del now_s
        limits = self._dispatcher.view.rate_shares.take_outgoing()
        for limit in limits:
            log_event(
                "rate_limit_changed",
                endpoint=limit.endpoint,
                incarnation=limit.incarnation,
                revision=limit.revision,
                per_s=limit.per_s,
                rejections_per_s=limit.rejections_per_s,
            )
        if limits:
            await spawn_job(self._effects.share, RateLimitUpdate(limits))

    async def share_origins(self, now_s: float) -> None:
        """Tell coordinators which versions have begun streams, if that may matter."""
        origins = self._dispatcher.view.stream_versions.take_outgoing(now_s)
        if origins:
            self._metrics.count("stream_origins_shared", len(origins))
            await spawn_job(self._effects.share_origins, origins)

    async def _probe_endpoint(self, record: EndpointRecord) -> None:
        accepted = await self._effects.probe(record)
        await self._mailbox.send(EndpointProbed(record, accepted))
