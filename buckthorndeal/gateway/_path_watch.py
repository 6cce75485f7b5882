"""Watch of the path to the endpoints, and what follows from its loss and return."""

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._contact import EndpointContact
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._fleet_messages import PathProbed
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import spawn_job

PATH_GAUGES = {
    "endpoint_path_lost": "1 while this host reaches no endpoint of its region.",
}


class PathWatch:
    """Checks the path to the endpoints, and reports its loss and return.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides whether the path is lost.
    mailbox : Mailbox
        Receives the results of probes.
    metrics : Metrics
        Metrics of the daemon.
    contact : EndpointContact
        When anything was last received from an endpoint.
    effects : DispatchEffects
        Probes endpoints, and acts on the loss of the path.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        mailbox: Mailbox,
        metrics: Metrics,
        contact: EndpointContact,
        effects: DispatchEffects,
    ) -> None:
        self._dispatcher = dispatcher
        self._mailbox = mailbox
        self._metrics = metrics
        self._contact = contact
        self._effects = effects
        self._lost_s: float | None = None
        metrics.describe_gauges(PATH_GAUGES)

    async def check(self, now_s: float) -> None:
        """Check the path, and act on its loss and return."""
        dispatcher = self._dispatcher
        dispatcher.watch_silence(self._contact.heard_s, now_s)
        for record in dispatcher.reach.take_probes(now_s):
            await spawn_job(self._probe, record)
        is_lost = dispatcher.reach.is_lost
        if is_lost != (self._lost_s is not None):
            await self._report(is_lost, now_s)
        hosts = self._list_cut_off_hosts()
        if hosts:
            ended = await self._effects.replace_silent_attempts(hosts, now_s)
            self._metrics.count("attempts_ended_on_lost_path", ended)

    def _list_cut_off_hosts(self) -> tuple[str | None, ...]:
        """Return the hosts that reach no endpoints, None for this one."""
        others = self._dispatcher.view.fleet.cut_off_hosts
        return (None, *others) if self._dispatcher.reach.is_lost else others

    async def _probe(self, record: EndpointRecord) -> None:
        accepted = await self._effects.probe(record)
        await self._mailbox.send(PathProbed(record, accepted))

    async def _report(self, is_lost: bool, now_s: float) -> None:
        path = self._dispatcher.reach.path
        if is_lost:
            self._lost_s = now_s
            log_event(
                "endpoint_path_lost",
                suspected_ms=round((now_s - path.suspected_s) * 1000),
                silence_ms=self._contact.get_silence_ms(now_s),
                relays=list(self._dispatcher.view.fleet.relay_hosts),
            )
        else:
            lost_ms = round((now_s - self._lost_s) * 1000)
            log_event("endpoint_path_restored", lost_ms=lost_ms)
            self._lost_s = None
        self._metrics.set_gauge("endpoint_path_lost", int(is_lost))
        await self._effects.report_endpoint_reach(not is_lost)
