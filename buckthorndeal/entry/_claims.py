"""Claims of idempotency keys, which the region's ledger replicates."""

import collections
import os
import random
import time

import curio
import msgspec

from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._ledger_views import LedgerViewSource, run_view_task
from buckthorndeal.entry._messages import Call, EndpointResponse, FindOwner, HostUpdate
from buckthorndeal.entry._peers import SendToPeer
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.ledger import (
    ClaimReply,
    Grant,
    HandOver,
    HostLost,
    LedgerOptions,
    Outcome,
    compute_digest,
    compute_fingerprint,
    create_ledger,
    create_ledger_service,
    get_replica_host,
)
from buckthorndeal.ledger.claims import (
    ViewRecord,
    open_disk_claim_store,
    open_memory_claim_store,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.settings import EntrySettings
from buckthorndeal.wire import Message

STORE_DIRECTORY = "claims"
RETRY_AFTER_S = 1.0
# A response is final as soon as the endpoint has sent it. The caller gets it after
# this time even if the backup has not recorded it yet.
RECORD_TIMEOUT_S = 2.0
# A larger response would not fit into a frame to the backup.
MAX_RECORDED_BYTES = 4_194_304

# The ledger abandons a handover after 1 s; the rest is a margin for the reply.
HANDOVER_TIMEOUT_S = 1.5
HANDOVER_POLL_INTERVAL_S = 0.02

ClaimKey = tuple[str, str]


def get_claim_key(call: Call) -> ClaimKey:
    """Return the workspace and the idempotency key of a call."""
    return call.identity.name, call.idempotency_key


class Claims:
    """Runs each non-idempotent call at most once, by workspace and idempotency key.

    Parameters
    ----------
    settings : EntrySettings
        Settings of this host.
    ledger_views : LedgerViewSource
        Source of the view that names the ledger's primary and backup.
    peers, router : Mailbox
        Mailboxes of the peer task and of the router task.
    rng : random.Random
        Source of batch numbers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        ledger_views: LedgerViewSource,
        peers: Mailbox,
        router: Mailbox,
        rng: random.Random,
    ) -> None:
        self._host = settings.host
        self._region = settings.region
        self._ledger_views = ledger_views
        self._peers = peers
        self._router = router
        self._view_requests = create_mailbox()
        self._grants: dict[ClaimKey, Grant] = {}
        self._forwarded: collections.Counter[ClaimKey] = collections.Counter()
        if settings.data_directory is None:
            store = open_memory_claim_store()
        else:
            directory = os.path.join(settings.data_directory, STORE_DIRECTORY)
            store = open_disk_claim_store(directory)
        snapshot = store.load()
        self._host_regions = dict.fromkeys(
            _list_view_hosts(snapshot.record), settings.region
        )
        self._host_regions[settings.host] = settings.region
        self._ledger = create_ledger(
            settings.host,
            store.identity,
            settings.region,
            self._host_regions.get,
            snapshot,
            rng,
            time.monotonic(),
            time.time(),
            LedgerOptions(answer_retention_s=settings.answer_retention_s),
        )
        self._service = create_ledger_service(
            self._ledger, store, self._send, self._view_requests.send
        )

    async def start(self, critical_tasks: curio.TaskGroup) -> None:
        """Start the tasks; the failure of one in `critical_tasks` ends the process."""
        await self._service.start()
        await critical_tasks.spawn(self._service.join)
        await critical_tasks.spawn(
            run_view_task,
            self._region,
            self._ledger_views,
            self._view_requests,
            self._service,
        )

    async def close(self) -> None:
        """Stop the ledger and close its store."""
        await self._service.close()

    async def hand_over(self) -> None:
        """Make the backup the primary before this host stops, and wait for it.

        Without a backup, or if it does not take over in time, nothing changes.
        """
        await self._service.handle(HandOver())
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            while self.primary == self._host and self._ledger.view.backup:
                await curio.sleep(HANDOVER_POLL_INTERVAL_S)

    async def _send(self, host: str, message: Message) -> None:
        await self._peers.send(SendToPeer(host, message))

    async def receive(self, message: Message, host: str) -> None:
        """Handle a message from the ledger of another host."""
        await self._service.receive(message, host)

    async def update_host(self, message: HostUpdate) -> None:
        """Record the region of a host, and tell the ledger if the host is lost."""
        record = message.record
        self._host_regions[record.host] = record.region
        if record.state == "lost" and record.region == self._region:
            await self._service.handle(HostLost(record.host))

    @property
    def primary(self) -> str | None:
        """Primary of the region's ledger in the newest view known here, or None."""
        replica = self._ledger.view.primary
        return get_replica_host(replica) if replica is not None else None

    def describe(self) -> dict[str, object]:
        """Return the state of the ledger for monitoring."""
        return self._ledger.describe()

    async def find_owner(self, region: str) -> HostRecord:
        """Return the host that runs non-idempotent calls of a home region.

        In this region it is the ledger's primary. The primary of another region is
        not known here, so any of its hosts is returned; it forwards to the primary.

        Raises
        ------
        RequestError
            With status 503 if no such host is reachable.
        """
        if region != self._region:
            return await self._router.ask(FindOwner(region, None))
        if self.primary is None:
            raise _create_unavailable_error(
                f"the claim ledger of region {region!r} has no primary"
            )
        return await self._router.ask(FindOwner(region, self.primary))

    async def claim(self, call: Call, timeout_s: float) -> EndpointResponse | None:
        """Claim the idempotency key of a call.

        Waits while another request holds the claim.

        Parameters
        ----------
        call : Call
            The non-idempotent call.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        EndpointResponse or None
            The response recorded under the key, or None if the claim is granted.

        Raises
        ------
        RequestError
            With status 422 if the key was used with another request, with verdict
            ``MAY_HAVE_RUN`` if an earlier dispatch has no known outcome, and with
            ``NOT_RUN`` if this host is not the primary of the ledger.
        """
        key = get_claim_key(call)
        digest = compute_digest(call.method, call.target, call.body)
        reply = await self._service.claim(
            compute_fingerprint(*key), digest, call.request_id, timeout_s
        )
        if reply.outcome is Outcome.GRANTED:
            self._grants[key] = reply.grant
            return None
        if reply.outcome is Outcome.ANSWERED:
            return _decode_response(reply)
        raise _create_claim_error(reply)

    async def record_response(self, key: ClaimKey, response: EndpointResponse) -> None:
        """Record the response and release the requests that wait for it."""
        grant = self._grants.pop(key)
        body = msgspec.msgpack.encode((response.content_type, response.body))
        if len(body) > MAX_RECORDED_BYTES:
            await self._service.abandon(grant)
            return
        recorded = await curio.ignore_after(
            RECORD_TIMEOUT_S, self._service.record_answer, grant, response.status, body
        )
        if recorded is None or not recorded.stored:
            log_event("answer_not_recorded", host=self._host, workspace=key[0])

    async def record_not_run(self, key: ClaimKey) -> None:
        """Release a claim whose call was certainly not dispatched."""
        await self._service.release(self._grants.pop(key))

    async def record_unknown_outcome(self, key: ClaimKey) -> None:
        """Keep a claim whose call was dispatched and has no known outcome."""
        await self._service.abandon(self._grants.pop(key))

    def record_forward(self, key: ClaimKey) -> None:
        """Record that a request with this key was forwarded to the claim's owner."""
        self._forwarded[key] += 1

    def withdraw_forward(self, key: ClaimKey) -> None:
        """Undo `record_forward` when the owner guarantees that nothing was run."""
        self._forwarded[key] -= 1
        if self._forwarded[key] <= 0:
            del self._forwarded[key]

    def may_have_run(self, key: ClaimKey) -> bool:
        """Return whether an earlier request with this key may have run."""
        return key in self._forwarded or self._ledger.may_have_run(
            compute_fingerprint(*key)
        )


def _list_view_hosts(record: ViewRecord) -> list[str]:
    """Return the hosts of a stored view; all are assumed to be in this region.

    A primary that has just started must copy claims to its backup before membership
    knows the backup's region. If that host is in another region after all, the peer
    task sends nothing to it.
    """
    views = [view for view in (record.view, record.asked) if view is not None]
    replicas = [each for view in views for each in (view.primary, view.backup)]
    return [get_replica_host(replica) for replica in replicas if replica is not None]


def create_outcome_unknown_error(reason: str) -> RequestError:
    """Return the error for a call of which an earlier attempt may have run."""
    return RequestError("outcome_unknown", 409, reason, Verdict.MAY_HAVE_RUN)


def _create_unavailable_error(reason: str) -> RequestError:
    return RequestError("claims_unavailable", 503, reason, retry_after_s=RETRY_AFTER_S)


def _decode_response(reply: ClaimReply) -> EndpointResponse:
    content_type, body = msgspec.msgpack.decode(reply.body, type=tuple[str, bytes])
    return EndpointResponse(reply.status, content_type, body)


def _create_claim_error(reply: ClaimReply) -> RequestError:
    if reply.outcome is Outcome.KEY_REUSED:
        return RequestError(
            "idempotency_key_reused",
            422,
            "the idempotency key was already used with another request",
        )
    if reply.outcome is Outcome.MAY_HAVE_RUN:
        return create_outcome_unknown_error("an earlier attempt has no known outcome")
    if reply.outcome is Outcome.NOT_OWNER:
        return _create_unavailable_error(
            "this host is not the primary of the region's claim ledger"
        )
    return _create_unavailable_error("the claim could not be recorded")


def create_claims(
    settings: EntrySettings,
    ledger_views: LedgerViewSource,
    peers: Mailbox,
    router: Mailbox,
    rng: random.Random,
) -> Claims:
    """Return claims that are not started.

    Raises
    ------
    CorruptStoreError
        If the claim store is damaged.
    """
    return Claims(settings, ledger_views, peers, router, rng)
