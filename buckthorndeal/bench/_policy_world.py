"""Testbed: a deployment in one process with entry hosts, endpoints and faults."""

import itertools
import math
import random

import curio
import msgspec

from buckthorndeal.bench._engine import BenchEngine, ObservedBackend
from buckthorndeal.bench._policy_audit import Audit
from buckthorndeal.bench._policy_plan import (
    DEPLOYMENTS,
    SCENARIOS,
    WORKSPACES_PER_REGION,
    BenchRegion,
    Deployment,
    RunSpec,
)
from buckthorndeal.bench._policy_views import SharedLedgerViews
from buckthorndeal.bench._traffic import MeteredTransport
from buckthorndeal.entry import EntryHost, create_entry_host
from buckthorndeal.entry._document import create_document_view
from buckthorndeal.entry._messages import DocumentView, ListEndpoints, ListHosts
from buckthorndeal.errors import BuckthorndealError
from buckthorndeal.keys import hash_key
from buckthorndeal.ledger import LedgerView
from buckthorndeal.sections import parse_section
from buckthorndeal.settings import (
    Address,
    EntrySettings,
    Limits,
    PeerAddress,
)
from buckthorndeal.standin import StandinEndpoint, StandinSettings, create_standin
from buckthorndeal.standin._plain import StandinPlainService
from buckthorndeal.transport import create_link_shape, create_memory_transport

__all__ = ["Testbed", "get_key"]

ADDRESS = "127.0.0.1"
HTTP_PORT = 8080
PEER_PORT = 9080
DOMAIN_DELAY_S = 0.0015
REGION_DELAY_S = 0.080
DOMAINS_PER_REGION = 2
BOOKING_SERVERS_PER_REGION = 1
BOOKING_SLOTS = 8
BOOKING_S = 0.02
# Range of the lag of load reports, as of engines that publish their load late.
REPORT_LAG_S = (0.1, 0.4)
HEARTBEAT_S = 0.5
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.05
REDUCED_CAPACITY_SHARE = 0.1
ENDPOINT_AGE_S = 60.0


def get_key(workspace: str) -> str:
    """Return the API key of a workspace's callers."""
    return f"key-{workspace}"


def get_caller_place(region: str) -> str:
    return f"{region}-callers"


class Testbed:
    """Deployment on an in-memory network, with the faults of one run.

    Parameters
    ----------
    spec : RunSpec
        Deployment, strategy and scenario.
    """

    def __init__(self, spec: RunSpec) -> None:
        self.spec = spec
        self.deployment = DEPLOYMENTS[spec.deployment]
        self.audit = Audit()
        self._rng = random.Random(f"{spec.seed} world")
        self._network = create_memory_transport()
        self.link_shape = create_link_shape()
        self.cross_region_bytes = 0
        self._views: dict[str, LedgerView] = {}
        self._isolated_region: str | None = None
        # The first region has two entry hosts, as in the real deployments.
        regions = self.deployment.regions
        self.host_regions = {
            f"entry-{number}": region.name
            for number, region in enumerate((regions[0], *regions), 1)
        }
        self.hosts: dict[str, EntryHost] = {}
        self.backends: list[ObservedBackend] = []
        self._standins: dict[str, StandinEndpoint] = {}
        self._set_delays()

    def create_transport(self, place: str) -> MeteredTransport:
        """Return the transport of a place; it counts the bytes between regions."""
        return MeteredTransport(
            self._network, self.link_shape, place, self._count_bytes
        )

    def _count_bytes(self, place: str, other: str, size: int) -> None:
        if get_region(place) != get_region(other):
            self.cross_region_bytes += size

    def _set_delays(self) -> None:
        places = [
            place
            for region in self.deployment.regions
            for place in _list_places(region)
        ]
        for one, other in itertools.product(places, places):
            delay_s = 0.0 if one == other else DOMAIN_DELAY_S
            if get_region(one) != get_region(other):
                delay_s = REGION_DELAY_S
            if is_caller_place(one) or is_caller_place(other):
                delay_s = max(0.0, delay_s - DOMAIN_DELAY_S)
                delay_s += self.deployment.client_delay_s
            self.link_shape.set_delay(one, other, delay_s)

    async def start(self) -> None:
        """Start hosts and endpoints, and wait until all hosts know all of them.

        Raises
        ------
        BuckthorndealError
            If they aren't ready within `READY_TIMEOUT_S`.
        """
        view = create_view(self.deployment)
        for number, host in enumerate(self.host_regions):
            await self._start_host(number, host, view)
        for region in self.deployment.regions:
            await self._start_endpoints(region)
        try:
            async with curio.timeout_after(READY_TIMEOUT_S):
                while not await self._is_ready():
                    await curio.sleep(READY_POLL_S)
        except curio.TaskTimeout:
            raise BuckthorndealError(
                f"deployment {self.deployment.name!r} was not ready within "
                f"{READY_TIMEOUT_S:g} s"
            ) from None
        await self._backdate_endpoints()

    async def _backdate_endpoints(self) -> None:
        """Let the endpoints appear `ENDPOINT_AGE_S` older, past their slow start.

        Otherwise the slow start of new endpoints would last for the whole run.
        """
        for host in self.hosts.values():
            for view in await host.router_mailbox.ask(ListEndpoints()):
                view.ready_since_s -= ENDPOINT_AGE_S

    async def close(self) -> None:
        """Stop all endpoints and hosts at once."""
        for resource in (*self._standins.values(), *self.hosts.values()):
            await resource.close()

    async def _start_host(self, number: int, host: str, view: DocumentView) -> None:
        region = self.host_regions[host]
        domain = f"{region}-{number % DOMAINS_PER_REGION + 1}"
        settings = self._create_settings(number, host, region, domain)
        transport = self.create_transport(domain)
        rng = random.Random(f"{self.spec.seed} {host}")
        views = SharedLedgerViews(
            self._views, 2 * REGION_DELAY_S, lambda: self._isolated_region != region
        )
        self.hosts[host] = create_entry_host(
            settings, transport, view, rng=rng, ledger_views=views
        )
        await self.hosts[host].start()

    def _create_settings(
        self, number: int, host: str, region: str, domain: str
    ) -> EntrySettings:
        ports = range(PEER_PORT, PEER_PORT + len(self.host_regions))
        seeds = tuple(
            Address(port=port) for port in ports if port != PEER_PORT + number
        )
        return EntrySettings(
            host=host,
            region=region,
            failure_domain=domain,
            listen=Address(port=HTTP_PORT + number),
            peer_listen=Address(port=PEER_PORT + number),
            control_hosts=(PeerAddress(host="control-1", port=1),),
            peer_keys=("00112233445566778899aabbccddeeff",),
            seeds=seeds,
            strategy=self.spec.strategy,
            limits=Limits(max_connections=100_000),
        )

    async def _start_endpoints(self, region: BenchRegion) -> None:
        deployment = self.deployment
        for number in range(region.engines):
            slots = deployment.slots
            if self._is_reduced(region):
                slots = compute_reduced_slots(region, deployment.slots, number)
            if slots:
                engine = BenchEngine(deployment.model, slots, deployment.cache_blocks)
                await self._start_endpoint(
                    region, deployment.model_service, number, engine
                )
        for number in range(BOOKING_SERVERS_PER_REGION):
            plain = StandinPlainService(BOOKING_SLOTS, BOOKING_S)
            await self._start_endpoint(region, deployment.plain_service, number, plain)

    def _is_reduced(self, region: BenchRegion) -> bool:
        faults = SCENARIOS[self.spec.scenario].faults
        return "region_tenth" in faults and region == self.deployment.regions[1]

    async def _start_endpoint(
        self,
        region: BenchRegion,
        service: str,
        number: int,
        backend: BenchEngine | StandinPlainService,
    ) -> None:
        name = f"{service}-{region.name}-{number}"
        lag_s = self._rng.uniform(*REPORT_LAG_S)
        observed = ObservedBackend(
            backend, name, region.name, self.audit, lag_s, random.Random(name)
        )
        self.backends.append(observed)
        domain = f"{region.name}-{number % DOMAINS_PER_REGION + 1}"
        registrars = tuple(
            (ADDRESS, HTTP_PORT + index)
            for index, host_region in enumerate(self.host_regions.values())
            if host_region == region.name
        )
        settings = StandinSettings(
            name, service, region.name, domain, registrars, heartbeat_s=HEARTBEAT_S
        )
        standin = create_standin(settings, observed, self.create_transport(domain), 1)
        self._standins[name] = standin
        await standin.start()

    async def _is_ready(self) -> bool:
        for host, region in self.host_regions.items():
            router = self.hosts[host].router_mailbox
            expected = sum(backend.region == region for backend in self.backends)
            if len(await router.ask(ListEndpoints())) < expected:
                return False
            if len((await router.ask(ListHosts(region))).hosts) < len(self.hosts):
                return False
            view = self.hosts[host].claims.describe()
            has_peer = list(self.host_regions.values()).count(region) > 1
            if view["primary"] is None or (has_peer and view["backup"] is None):
                return False
        return True

    async def run_faults(self) -> None:
        """Inject the faults of the scenario during the workload."""
        duration_s = self.spec.duration_s
        faults = SCENARIOS[self.spec.scenario].faults
        if "half_failing" in faults:
            self._fail_half_of_endpoints()
        await curio.sleep(0.25 * duration_s)
        if "endpoint_lost" in faults:
            await self._crash_endpoint()
        if "host_lost" in faults:
            await self.hosts["entry-1"].close()
        if "region_isolated" in faults:
            self._isolate_region()
            await curio.sleep(0.4 * duration_s)
            self._reconnect_region()

    def _fail_half_of_endpoints(self) -> None:
        for service in (self.deployment.model_service, self.deployment.plain_service):
            backends = [
                backend for backend in self.backends if backend.name.startswith(service)
            ]
            for backend in backends[::2]:
                backend.fails = True

    async def _crash_endpoint(self) -> None:
        region = self.deployment.regions[0].name
        name = f"{self.deployment.model_service}-{region}-0"
        await self._standins.pop(name).close()

    def _isolate_region(self) -> None:
        isolated, *others = sorted(
            self.deployment.regions, key=lambda region: region.call_share, reverse=True
        )
        self._isolated_region = isolated.name
        other_places = {place for region in others for place in _list_places(region)}
        self.link_shape.partition(set(_list_places(isolated)), other_places)

    def _reconnect_region(self) -> None:
        self.link_shape.heal_all()
        for backend in self.backends:
            if backend.region == self._isolated_region and isinstance(
                backend.inner, BenchEngine
            ):
                backend.inner.clear_cache()
        self._isolated_region = None


def _list_places(region: BenchRegion) -> list[str]:
    domains = [f"{region.name}-{number + 1}" for number in range(DOMAINS_PER_REGION)]
    return [*domains, get_caller_place(region.name)]


def get_region(place: str) -> str:
    """Return the region of a place, a failure domain or a group of callers."""
    return place.rpartition("-")[0]


def is_caller_place(place: str) -> bool:
    return place.endswith("-callers")


def compute_reduced_slots(region: BenchRegion, slots: int, number: int) -> int:
    """Return the slots of an engine in a region with a tenth of its capacity."""
    total = max(1, math.ceil(REDUCED_CAPACITY_SHARE * region.engines * slots))
    return min(slots, max(0, total - number * slots))


def create_view(deployment: Deployment) -> DocumentView:
    """Return the document view of a deployment."""
    weights = {"cost": deployment.cost_weight, "tail_latency": deployment.tail_weight}
    services = {
        deployment.model_service: {
            "kind": "model",
            "models": [deployment.model],
            "default_deadline_s": 4,
            "weights": weights,
        },
        deployment.plain_service: {
            "kind": "plain",
            "default_deadline_s": 3,
            "weights": weights,
            "non_idempotent": [
                {"method": "POST", "path_prefix": path}
                for path in deployment.booking_paths
            ],
        },
    }
    regions = {
        region.name: {"home": region.home, "failure_domains": _list_places(region)[:-1]}
        for region in deployment.regions
    }
    sections = {
        "platform": {"services": services, "regions": regions},
        "accounts": {"workspaces": _create_workspaces(deployment)},
        "support": {},
    }
    return create_document_view(
        *(
            parse_section(name, msgspec.json.encode(value).decode())
            for name, value in sections.items()
        )
    )


def _create_workspaces(deployment: Deployment) -> dict[str, dict]:
    workspaces = {}
    for region in deployment.regions:
        for number in range(WORKSPACES_PER_REGION // 2):
            for kind in ("bound", "free"):
                name = f"{region.name}-{kind}-{number}"
                workspaces[name] = {
                    "key_hashes": [hash_key(get_key(name))],
                    "home_region": region.name,
                    "bound": kind == "bound",
                    "requests_per_s": 1000,
                    "burst": 1000,
                    "concurrency": 1000,
                }
    return workspaces
