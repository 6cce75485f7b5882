"""Benchmark `state`: memory and CPU time per workspace, endpoint, host and claim."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from buckthorndeal.authentication import hash_key
from buckthorndeal.bench import Measurement
from buckthorndeal.control._messages import CONTROL_CODEC, PlacementReport
from buckthorndeal.document import create_document
from buckthorndeal.entry._placement import create_endpoint_report
from buckthorndeal.entry._regions import ServiceOffer, SpillOffer
from buckthorndeal.entry._reports import EndpointLoad, EndpointReports
from buckthorndeal.ledger.claims import ClaimEntry, ClaimSnapshot
from buckthorndeal.membership import HostRecord
from buckthorndeal.policy.affinity import create_affinity
from buckthorndeal.policy.views import EndpointView
from buckthorndeal.registry import Announcement, create_registry
from buckthorndeal.wire import create_codec

__all__ = ["measure_state"]

WORKSPACES = 2_000
ENDPOINTS = 600
HOSTS = 330
CLAIMS = 5_000
PREFIXES = 5_000
PREFIX_BLOCKS = 8
ANSWER_BYTES = 200
REPORTED_ENDPOINTS = 20
REPEATS = 3


def _measure_bytes(build: Callable[[], object], count: int) -> float:
    """Return the allocated bytes per item of what `build` returns."""
    build()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / count


def _measure_cpu_s(run: Callable[[], object]) -> float:
    """Return the least CPU seconds of `REPEATS` runs."""
    times_s = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        run()
        times_s.append(time.process_time() - start_s)
    return min(times_s)


def _create_sections() -> dict[str, str]:
    workspaces = {
        f"workspace-{number}": {
            "key_hashes": [hash_key(f"key-{number}")],
            "home_region": "here",
            "bound": number % 5 < 2,
        }
        for number in range(WORKSPACES)
    }
    team = {"key_hashes": [hash_key("team")], "sections": []}
    team["sections"] = ["teams", "platform", "accounts"]
    sections = {
        "teams": {"teams": {"platform": team}},
        "platform": {
            "services": {"engine": {"kind": "model", "models": ["bench"]}},
            "regions": {"here": {"home": "here", "failure_domains": ["here-a"]}},
        },
        "accounts": {"workspaces": workspaces},
    }
    return {
        name: msgspec.json.format(msgspec.json.encode(section)).decode()
        for name, section in sections.items()
    }


def _fill_registry() -> object:
    registry = create_registry()
    for number in range(ENDPOINTS):
        announcement = Announcement(
            name=f"engine-{number}",
            incarnation=1,
            service="engine",
            region="here",
            failure_domain="here-a",
            address="127.0.0.1",
            port=1 + number,
            models=(f"model-{number % 38}",),
            slots=8,
        )
        registry.announce(announcement, 0.0)
    return registry


def _create_record(number: int) -> HostRecord:
    address = f"127.0.{number // 200}.{number % 200 + 1}:9000"
    return HostRecord(
        f"entry-{number}",
        f"region-{number % 5}",
        f"domain-{number % 16}",
        {"membership": address, "callers": address, "peers": address},
        1 + number,
        "alive",
    )


def _create_records() -> list[HostRecord]:
    return [_create_record(number) for number in range(HOSTS)]


def _fill_claims() -> ClaimSnapshot:
    rng = random.Random(1)
    snapshot = ClaimSnapshot()
    for number in range(CLAIMS):
        entry = ClaimEntry(
            rng.randbytes(16),
            1,
            1,
            "answered",
            rng.randbytes(32),
            f"request-{number}",
            0.0,
            201,
            rng.randbytes(ANSWER_BYTES),
        )
        snapshot.apply(entry)
    return snapshot


def _expire_claims() -> bytes:
    snapshot = _fill_claims()
    snapshot.expire_entries(1.0)
    return snapshot.expired.pack()


def _fill_affinity() -> object:
    rng = random.Random(1)
    affinity = create_affinity(max_entries=PREFIXES * PREFIX_BLOCKS)
    for number in range(PREFIXES):
        hashes = tuple(rng.getrandbits(63) for _ in range(PREFIX_BLOCKS))
        affinity.record_request(f"engine-{number % 20}", 1, hashes, 0.0)
    return affinity


def _measure_messages() -> list[Measurement]:
    """Return the encoded sizes, without framing, of messages sent every second."""
    loads = tuple(
        EndpointLoad(f"engine-{number:03}", 1_764_800_000, 5, 2, ("model-12",), ("1",))
        for number in range(REPORTED_ENDPOINTS)
    )
    view = EndpointView(
        "engine-001",
        1_764_800_000,
        "engine",
        "region-1",
        "domain-1",
        "127.0.0.1",
        9_000,
        models=("model-12",),
        versions=("1",),
    )
    offer = ServiceOffer("engine", 0.25, 12, 100, 3, 3.0)
    codec = create_codec((EndpointReports, SpillOffer))
    return [
        Measurement(
            "state.endpoint_load_message_bytes",
            len(codec.encode(EndpointReports(loads))) / REPORTED_ENDPOINTS,
            "B",
        ),
        Measurement(
            "state.placement_report_message_bytes",
            len(CONTROL_CODEC.encode(PlacementReport((create_endpoint_report(view),)))),
            "B",
        ),
        Measurement(
            "state.spill_offer_message_bytes",
            len(codec.encode(SpillOffer((offer,)))),
            "B",
        ),
    ]


def measure_state() -> list[Measurement]:
    """Measure the state that grows with the size of the deployment.

    Returns
    -------
    list of Measurement
        Allocated bytes per item as traced by `tracemalloc`, sizes of messages, and
        CPU time.
    """
    texts = _create_sections()
    document_bytes = sum(map(len, texts.values()))
    return [
        Measurement("state.document_text_bytes", document_bytes / WORKSPACES, "B"),
        Measurement(
            "state.workspace_bytes",
            _measure_bytes(lambda: create_document(texts), WORKSPACES),
            "B",
        ),
        Measurement(
            "state.document_parse_s",
            _measure_cpu_s(lambda: create_document(texts)),
            "s",
        ),
        Measurement(
            "state.endpoint_bytes", _measure_bytes(_fill_registry, ENDPOINTS), "B"
        ),
        Measurement(
            "state.host_record_bytes", _measure_bytes(_create_records, HOSTS), "B"
        ),
        Measurement("state.claim_bytes", _measure_bytes(_fill_claims, CLAIMS), "B"),
        Measurement(
            "state.expired_claim_bytes", _measure_bytes(_expire_claims, CLAIMS), "B"
        ),
        Measurement(
            "state.prefix_block_bytes",
            _measure_bytes(_fill_affinity, PREFIXES * PREFIX_BLOCKS),
            "B",
        ),
        *_measure_messages(),
    ]
