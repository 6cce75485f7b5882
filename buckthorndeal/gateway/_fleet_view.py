"""Endpoints of the region and state of the fleet, as known to one host; no I/O."""

from collections.abc import Mapping

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.fleet import EndpointRecord, ServiceLoad, create_endpoint_table
from buckthorndeal.gateway._endpoint_condition import (
    USABLE_CONDITIONS,
    EndpointCondition,
    NextTurn,
)
from buckthorndeal.gateway._engine import (
    INITIAL_TOKENS_PER_S,
    PrefixCaches,
    compute_cache_tokens,
)
from buckthorndeal.gateway._fleet_messages import FleetChanged
from buckthorndeal.gateway._known_services import KnownServices
from buckthorndeal.gateway._learning import EndpointLearning
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._pace import EndpointPace
from buckthorndeal.gateway._pauses import EndpointPauses
from buckthorndeal.gateway._rate_shares import RateShares
from buckthorndeal.gateway._region_load import describe_load
from buckthorndeal.gateway._service_time import ServiceTime
from buckthorndeal.gateway._stream_versions import StreamVersions
from buckthorndeal.gateway._taken_back import TakenBackTimes
from buckthorndeal.gateway._unconfirmed_streams import RELAY_DELAY_S
from buckthorndeal.gateway._warm_ups import WarmUps

# Heartbeats arrive about once a second; an endpoint is avoided after two lost ones.
HEARTBEAT_TIMEOUT_S = 3.0
# Age of the last heartbeat of an endpoint that is most likely alive.
RECENT_HEARTBEAT_S = 2.0
# Share of a service's `max_connections` that the hosts of the region divide, and what
# each of them may open at least.
CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 2


class FleetView:
    """Endpoint loads, services and entry hosts known to this host.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._table = create_endpoint_table()
        self._last_heartbeat_s = 0.0
        self._pauses = EndpointPauses()
        self.rate_shares = RateShares(host)
        self.stream_versions = StreamVersions()
        self.prefix_caches = PrefixCaches()
        self.loads: dict[str, EndpointLoad] = {}
        self._known_services = KnownServices()
        self.fleet = FleetChanged((host,), 1, frozenset())
        self._taken_back = TakenBackTimes()
        self.warm_ups = WarmUps(host)

    @property
    def services(self) -> Mapping[str, ServiceDescription]:
        """Services of the newest configuration by name."""
        return self._known_services.described

    def list_available(
        self, service: str, version: str | None, now_s: float
    ) -> list[EndpointLoad]:
        """Return the endpoints of a service that may get new requests.

        Endpoints without recent heartbeats are left out, unless this applies to all:
        then the delivery of heartbeats has failed, and all of them are returned. But
        they may have started again with another version since.

        Parameters
        ----------
        service : str
            The service.
        version : str or None
            Software version that an endpoint must have; None for any.
        now_s : float
            Clock reading.
        """
        usable, silent = [], []
        for load in self._list_loads(service):
            condition = self.get_condition(load, now_s)
            if condition in USABLE_CONDITIONS:
                usable.append(load)
            elif condition is EndpointCondition.SILENT:
                silent.append(load)
        if version is not None:
            return [load for load in usable if self.get_version(load, now_s) == version]
        return usable or silent

    def get_version(self, load: EndpointLoad, now_s: float) -> str | None:
        """Return the software version of an endpoint; None if it may have changed.

        After a refused connection it may have started again, until a heartbeat arrives
        that was sent later.
        """
        last_heartbeat_s = load.entry.last_heartbeat_s
        if now_s - last_heartbeat_s >= HEARTBEAT_TIMEOUT_S:
            return None
        if last_heartbeat_s < load.refused_s + RELAY_DELAY_S:
            return None
        return load.entry.record.version

    def record_refusal(self, record: EndpointRecord, now_s: float) -> None:
        """Record that an endpoint has not accepted a connection.

        It may have ended, and start again, cold, before a heartbeat says so.
        """
        load = self.loads.get(record.endpoint)
        if load is not None and load.entry.record.incarnation == record.incarnation:
            load.refused_s = now_s
            self._doubt(load, now_s)

    def list_alive(self, now_s: float) -> list[EndpointRecord]:
        """Return the ready endpoints whose heartbeats are recent.

        All of them, if this applies to none.
        """
        ready = [load for load in self.loads.values() if load.is_ready(now_s)]
        recent = [
            load
            for load in ready
            if now_s - load.entry.last_heartbeat_s < RECENT_HEARTBEAT_S
        ]
        return [load.entry.record for load in recent or ready]

    def get_heartbeat_s(self, endpoint: str, incarnation: int) -> float | None:
        """Return when the last heartbeat of an incarnation arrived, if it is known."""
        load = self.loads.get(endpoint)
        if load is None or load.entry.record.incarnation != incarnation:
            return None
        return load.entry.last_heartbeat_s

    def get_cold_s(self, endpoint: str, now_s: float) -> float:
        """Return for how long an endpoint is known to be cold, in seconds."""
        entry = self._table.get(endpoint)
        return 0.0 if entry is None else entry.get_cold_s(now_s)

    def count_endpoints(self, service: str) -> int:
        """Return how many endpoints of a service are known."""
        return len(self._list_loads(service))

    def count_conditions(
        self, service: str, now_s: float
    ) -> dict[EndpointCondition, int]:
        """Return the number of endpoints of a service in each condition."""
        counts = dict.fromkeys(EndpointCondition, 0)
        for load in self._list_loads(service):
            counts[self.get_condition(load, now_s)] += 1
        return counts

    def list_conditions(
        self, service: str, now_s: float
    ) -> list[tuple[EndpointLoad, EndpointCondition]]:
        """Return the endpoints of a service with their conditions."""
        return [
            (load, self.get_condition(load, now_s))
            for load in self._list_loads(service)
        ]

    def _list_loads(self, service: str) -> list[EndpointLoad]:
        return [
            load for load in self.loads.values() if load.entry.record.service == service
        ]

    def get_condition(self, load: EndpointLoad, now_s: float) -> EndpointCondition:
        """Return the condition of an endpoint."""
        if not load.is_ready(now_s):
            return EndpointCondition.LEAVING
        if self._is_evacuated(load):
            return EndpointCondition.EVACUATED
        if self._get_pause_s(load, now_s) > 0:
            return EndpointCondition.PAUSED
        if self.rate_shares.get_wait_s(load.entry.record, now_s) > 0:
            return EndpointCondition.RATE_LIMITED
        if now_s - load.entry.last_heartbeat_s >= HEARTBEAT_TIMEOUT_S:
            return EndpointCondition.SILENT
        if load.is_cold(now_s):
            return EndpointCondition.COLD
        return EndpointCondition.READY

    def find_next_turn(self, service: str, now_s: float) -> NextTurn | None:
        """Return when the first endpoint that holds this host off takes requests again.

        None if no endpoint of the service is paused or limits its rate.
        """
        turns = []
        for load in self._list_loads(service):
            condition = self.get_condition(load, now_s)
            if condition is EndpointCondition.PAUSED:
                turns.append(NextTurn(self._get_pause_s(load, now_s), condition))
            elif condition is EndpointCondition.RATE_LIMITED:
                wait_s = self.rate_shares.get_wait_s(load.entry.record, now_s)
                turns.append(NextTurn(wait_s, condition))
        return min(turns, key=lambda turn: turn.wait_s, default=None)

    def _get_pause_s(self, load: EndpointLoad, now_s: float) -> float:
        record = load.entry.record
        return self._pauses.get_remaining_s(record.endpoint, record.incarnation, now_s)

    def limits_rejections(self, service: str) -> bool:
        """Return whether endpoints of a service fail if they turn much away.

        What one endpoint says holds for those that have not answered yet.
        """
        if self.rate_shares.is_empty:
            return False
        return any(
            self.rate_shares.get_rejection_limit(load.entry.record) is not None
            for load in self._list_loads(service)
        )

    def get_rejection_s(self, endpoint: str, incarnation: int) -> float | None:
        """Return when an endpoint that bears few rejections last rejected one."""
        load = self.loads.get(endpoint)
        if load is None or load.entry.record.incarnation != incarnation:
            return None
        return load.rejected_s

    def record_pause(
        self, record: EndpointRecord, pause_s: float, now_s: float
    ) -> None:
        """Record that an endpoint wants no requests for `pause_s` seconds."""
        self._pauses.record(record.endpoint, record.incarnation, pause_s, now_s)

    def record_leaving(self, record: EndpointRecord) -> EndpointRecord | None:
        """Record that an endpoint leaves; return its changed record if this is new."""
        return self._table.mark_draining(record.endpoint, record.incarnation)

    def record_left(self, endpoint: str, incarnation: int | None, now_s: float) -> None:
        """Record that an incarnation of an endpoint has left; None for any."""
        self._table.mark_left(endpoint, incarnation, now_s)

    def set_services(self, services: Mapping[str, ServiceDescription]) -> None:
        """Replace the services with those of a newer configuration."""
        self._known_services.describe(services)
        for load in self.loads.values():
            self._doubt_taken_back(load)

    def get_service(self, name: str) -> ServiceDescription | None:
        """Return a service, or None if it is unknown; see `KnownServices.get`."""
        return self._known_services.get(name)

    def get_connection_limit(self, service: ServiceDescription) -> int:
        """Return how many connections this host may open to each endpoint."""
        hosts = max(1, len(self.fleet.region_hosts))
        share = int(service.max_connections * CONNECTION_SHARE)
        return max(MIN_CONNECTIONS, share // hosts)

    def set_fleet(self, message: FleetChanged, now_s: float) -> list[str]:
        """Replace the entry hosts and evacuations with newer ones.

        The endpoints of a failure domain may have become cold shortly before the end of
        its evacuation. Those of which this is now in doubt are returned.
        """
        taken_back = self._taken_back.update(self.fleet, message, now_s)
        doubted = [
            load
            for load in self.loads.values()
            if load.entry.record.failure_domain in taken_back
        ]
        for load in doubted:
            self._doubt(load, now_s)
        self.fleet = message
        self.rate_shares.set_hosts(message.region_hosts)
        sharing_hosts = message.region_hosts if message.is_confirmed else ()
        self.warm_ups.set_hosts(sharing_hosts, now_s)
        return [load.name for load in doubted]

    def record_stop(self, stopped_s: float, now_s: float) -> None:
        """Record that this process did not run for a time, and may have missed news."""
        self.warm_ups.record_stop(stopped_s, now_s)
        for load in self.loads.values():
            load.cold_doubt.resume(now_s, load.entry.cold_told_s)

    def _doubt(self, load: EndpointLoad, since_s: float | None) -> None:
        """Doubt whether an endpoint has become cold, since a clock reading if any."""
        service = self.get_service(load.entry.record.service)
        if service is not None and since_s is not None:
            load.cold_doubt.begin(since_s, service.cold_start_s)

    def _doubt_taken_back(self, load: EndpointLoad) -> None:
        since_s = self._taken_back.get_end_s(load.entry.record.failure_domain)
        self._doubt(load, since_s)

    def record_heartbeat(self, record: EndpointRecord, now_s: float) -> None:
        """Apply a heartbeat."""
        self._last_heartbeat_s = now_s
        self.stream_versions.record_heartbeat(record, now_s)
        previous = self._table.get(record.endpoint)
        if self._table.update(record, now_s) is None:
            return
        entry = self._table.get(record.endpoint)
        load = self.loads.get(record.endpoint)
        restarted = (
            previous is not None and previous.record.incarnation != record.incarnation
        )
        if load is None or restarted:
            capacity = compute_cache_tokens(self.get_service(record.service))
            services = self._known_services
            service_time = ServiceTime(services.get_time(record.service))
            pace = EndpointPace(services.get_pace(record.service), now_s)
            self.loads[record.endpoint] = EndpointLoad(
                entry,
                self.prefix_caches.create(capacity),
                service_time=service_time,
                learning=EndpointLearning(record.slots, pace),
            )
            # The first heartbeat of a process tells itself whether it is cold.
            if not restarted or record.age_s > 0:
                self._doubt_taken_back(self.loads[record.endpoint])
        else:
            load.entry = entry

    def touch(self, endpoint: str, now_s: float) -> None:
        """Record that an endpoint is alive and its last heartbeat still holds."""
        self._last_heartbeat_s = now_s
        self._table.touch(endpoint, now_s)
        entry = self._table.get(endpoint)
        if entry is not None:
            self.stream_versions.confirm_streams(entry.record, now_s)

    def expire(self, silence_s: float, now_s: float) -> list[str]:
        """Remove and return the endpoints without heartbeats for `silence_s` seconds.

        Those that have left are kept while a late heartbeat may still come. Nothing is
        removed while no heartbeats arrive at all.
        """
        self._pauses.expire(now_s)
        self.stream_versions.expire(now_s)
        records = [load.entry.record for load in self.loads.values()]
        self.rate_shares.expire(records, now_s)
        if now_s - self._last_heartbeat_s > HEARTBEAT_TIMEOUT_S:
            return []
        self._table.expire(silence_s, now_s)
        removed = [each for each in self.loads if self._table.get(each) is None]
        for endpoint in removed:
            del self.loads[endpoint]
            self.warm_ups.forget(endpoint)
        served = {load.entry.record.service for load in self.loads.values()}
        self.stream_versions.forget_services(self._known_services.expire(served))
        return removed

    def get_max_prefill_speed(self, service: str) -> float:
        """Return the highest prefill speed of a service, in tokens per second."""
        pace = self._known_services.find_active_pace(service)
        if pace is not None:
            return 1 / pace.get_token_s()
        speeds = [load.prefill_speed.tokens_per_s for load in self._list_loads(service)]
        return max(speeds, default=INITIAL_TOKENS_PER_S)

    def describe_region(self, now_s: float) -> tuple[ServiceLoad, ...]:
        """Return the load of each service as other regions are told it."""
        return tuple(
            ServiceLoad(service, round(wait_s, 4), free, self._list_versions(service))
            for service, (wait_s, free) in self.describe_loads(now_s).items()
        )

    def _list_versions(self, service: str) -> tuple[str, ...]:
        versions = {load.entry.record.version for load in self._list_loads(service)}
        return tuple(sorted(versions))

    def describe_loads(self, now_s: float) -> dict[str, tuple[float, int]]:
        """Return the expected wait in seconds and the free slots of each service.

        Each host reports its share of the free slots of the region. What endpoints
        take that limit their rate is left to the callers of the region.
        """
        described: dict[str, tuple[float, int]] = {}
        for name, service in self.services.items():
            loads = self.list_lendable(name, now_s)
            if loads:
                hosts = max(1, len(self.fleet.region_hosts))
                described[name] = describe_load(service, loads, hosts, now_s)
        return described

    def list_lendable(self, service: str, now_s: float) -> list[EndpointLoad]:
        """Return the endpoints that may serve requests of other regions."""
        return [
            load
            for load in self._list_loads(service)
            if self.get_condition(load, now_s) is EndpointCondition.READY
            and self.rate_shares.get_limit(load.entry.record) is None
            and self.rate_shares.get_rejection_limit(load.entry.record) is None
        ]

    def has_learned_pace(self, service: str) -> bool:
        """Return whether endpoints of a service report a slowdown."""
        return self._known_services.find_active_pace(service) is not None

    def _is_evacuated(self, load: EndpointLoad) -> bool:
        return load.entry.record.failure_domain in self.fleet.evacuated
