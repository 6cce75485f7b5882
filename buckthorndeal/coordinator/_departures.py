"""Drains and leaves that a coordinator has acknowledged, or confirmed to others."""

from dataclasses import dataclass

import curio
import msgspec

from buckthorndeal.coordinator._departure_store import Departure, DepartureStore
from buckthorndeal.fleet import EndpointEntry, EndpointRecord, EndpointState
from buckthorndeal.logs import log_event
from buckthorndeal.supervision import spawn_job

# Heartbeats that were sent before a departure arrive within this time.
RETENTION_S = 60.0
MAX_DEPARTURES = 4096
# The coordinator that waits for a confirmation gives up after 0.7 s.
SAVE_TIMEOUT_S = 0.6
RETRY_S = 0.1


@dataclass(slots=True)
class _KnownDeparture:
    departure: Departure
    recorded_s: float
    # Whether a majority of the voters has confirmed it to this host.
    confirmed: bool = False


class Departures:
    """Newest drain or leave of each endpoint, in memory and on disk.

    Parameters
    ----------
    store : DepartureStore
        Keeps them when the process ends.
    now_s : float
        Clock reading.
    """

    def __init__(self, store: DepartureStore, now_s: float) -> None:
        self._store = store
        self._known = {
            each.endpoint: _KnownDeparture(each, now_s) for each in store.load()
        }
        # Counts the changes; those up to the second number are on disk.
        self._revision = 0
        self._saved_revision = 0
        # Set at the end of the save that is under way.
        self._save_ended: curio.Event | None = None
        self._closed = False

    def record(
        self, endpoint: str, incarnation: int, state: EndpointState, now_s: float
    ) -> None:
        """Record that an incarnation drains or has left."""
        known = self._known.get(endpoint)
        departure = Departure(endpoint, incarnation, state)
        if known is not None:
            if incarnation < known.departure.incarnation:
                return
            if incarnation == known.departure.incarnation and (
                state is known.departure.state
                or known.departure.state is EndpointState.LEFT
            ):
                known.recorded_s = now_s
                return
        elif len(self._known) >= MAX_DEPARTURES:
            del self._known[min(self._known, key=self._get_recorded_s)]
        self._known[endpoint] = _KnownDeparture(departure, now_s)
        self._revision += 1

    def record_state(self, record: EndpointRecord, now_s: float) -> None:
        """Record that an endpoint drains or has left, as its record says."""
        self.record(record.endpoint, record.incarnation, record.state, now_s)

    def record_leave(
        self,
        endpoint: str,
        incarnation: int | None,
        known: EndpointEntry | None,
        now_s: float,
    ) -> None:
        """Record a leave by id; without an incarnation, that of the known record."""
        if incarnation is None and known is not None:
            incarnation = known.record.incarnation
        if incarnation is not None:
            self.record(endpoint, incarnation, EndpointState.LEFT, now_s)

    def apply(self, record: EndpointRecord) -> EndpointRecord:
        """Return a record with the state that it has after what is known here."""
        known = self._known.get(record.endpoint)
        if known is None or record.incarnation > known.departure.incarnation:
            return record
        state = known.departure.state
        if record.incarnation < known.departure.incarnation:
            state = EndpointState.LEFT
        if EndpointState.LEFT in (state, record.state):
            return msgspec.structs.replace(record, state=EndpointState.LEFT)
        return msgspec.structs.replace(record, state=state)

    def is_unconfirmed(self, endpoint: str, incarnation: int) -> bool:
        """Return whether a departure is known here, but not that a majority has it."""
        known = self._known.get(endpoint)
        if known is None or known.departure.incarnation != incarnation:
            return False
        return not known.confirmed

    def record_confirmation(self, departure: Departure) -> None:
        """Record that a majority of the voters has confirmed a departure."""
        known = self._known.get(departure.endpoint)
        if known is not None and known.departure == departure:
            known.confirmed = True

    def expire(self, now_s: float) -> None:
        """Remove the departures after which no earlier heartbeat arrives any more."""
        for endpoint, known in list(self._known.items()):
            if now_s - known.recorded_s >= RETENTION_S:
                del self._known[endpoint]

    async def wait_saved(self) -> bool:
        """Return whether all that was recorded is on disk within the timeout."""
        target = self._revision
        async with curio.ignore_after(SAVE_TIMEOUT_S):
            while self._saved_revision < target and not self._closed:
                await self._wait_for_save()
        return self._saved_revision >= target

    async def close(self) -> None:
        """Wait for the end of the save that is under way, and start no other one."""
        self._closed = True
        if self._save_ended is not None:
            await curio.ignore_after(SAVE_TIMEOUT_S, self._save_ended.wait)

    async def _wait_for_save(self) -> None:
        """Wait for the end of the save that is under way, or of a new one."""
        ended = self._save_ended
        if ended is None:
            ended = self._save_ended = curio.Event()
            # Otherwise a timeout here would leave an event that nobody sets.
            async with curio.disable_cancellation():
                await spawn_job(self._save, on_failure=self._record_failure)
        await ended.wait()

    async def _save(self) -> None:
        revision = self._revision
        records = tuple(known.departure for known in self._known.values())
        try:
            await curio.run_in_thread(self._store.save, records)
        except OSError as error:
            await self._record_failure(error)
            return
        self._saved_revision = revision
        await self._end_save()

    async def _record_failure(self, error: BaseException) -> None:
        log_event("departures_not_saved", reason=str(error))
        await curio.sleep(RETRY_S)
        await self._end_save()

    async def _end_save(self) -> None:
        ended, self._save_ended = self._save_ended, None
        await ended.set()

    def _get_recorded_s(self, endpoint: str) -> float:
        return self._known[endpoint].recorded_s


def create_departures(store: DepartureStore, now_s: float) -> Departures:
    """Return the departures that are in a store."""
    return Departures(store, now_s)
