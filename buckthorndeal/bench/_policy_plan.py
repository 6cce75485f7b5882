"""Workload of the policy benchmark: deployments, runs and seeded arrivals."""

import hashlib
import itertools
import math
import random
from dataclasses import dataclass

import msgspec

__all__ = [
    "DEPLOYMENTS",
    "SCENARIOS",
    "BenchRegion",
    "Deployment",
    "PlannedCall",
    "RunSpec",
    "Scenario",
    "compute_capacity",
    "create_plan",
]

MODEL, LOOKUP, BOOKING = "model", "lookup", "booking"
BOUND_SHARE = 0.39
WORKSPACES_PER_REGION = 4
# Share of the bookings that are sent again with the same idempotency key.
RESEND_SHARE = 0.1
# The arrival rate of a region deviates from its mean by up to this share.
PEAK_SWING = 0.35
ANSWER_TOKENS = 10
# Answers of a few seconds are scaled down by a factor of about four and have fewer
# tokens, so that one process can handle the load.
TOKEN_S = 0.05
# Relative increase of the time per token in a full batch over a single request.
BATCH_SLOWDOWN = 0.5
PREFILL_S = 0.0004
# Expected share of the shared words that are cached.
EXPECTED_HIT_SHARE = 0.5
WORDS = ("bell", "bronze", "ice", "lantern", "mould", "pour", "strap", "wax")


@dataclass(frozen=True, slots=True)
class BenchRegion:
    """A region with its home, its number of engines and its share of the calls."""

    name: str
    home: str
    engines: int
    call_share: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Parameters in which the deployments differ.

    Parameters
    ----------
    shared_words, unique_words : int
        Words of a prompt that many requests share, and the others.
    prefix_groups : int
        Number of shared prefixes; those of low numbers are more frequent.
    workspace_prefixes : bool
        Whether each workspace has shared prefixes of its own, such as its catalogue.
    cache_blocks : int
        Blocks of 16 words in the prefix cache of an engine.
    cost_weight, tail_weight : float
        Weights of cost and tail latency in the routing score.
    client_delay_s : float
        One-way delay between callers and entry hosts of a region, in seconds.
    plain_rates_per_s : dict of str to float
        Calls of each kind to the plain service per second, whatever the load.
    """

    name: str
    model_service: str
    model: str
    plain_service: str
    lookup_path: str
    booking_paths: tuple[str, ...]
    regions: tuple[BenchRegion, ...]
    slots: int
    shared_words: int
    unique_words: int
    prefix_groups: int
    workspace_prefixes: bool
    cache_blocks: int
    cost_weight: float
    tail_weight: float
    client_delay_s: float
    plain_rates_per_s: dict[str, float]


DEPLOYMENTS = {
    "kelawar": Deployment(
        "kelawar",
        "pelayan-bahasa",
        "loceng-7b",
        "aplikasi-bengkel",
        "/stock",
        ("/orders", "/deposits"),
        (
            BenchRegion("shah-alam", "semenanjung", 4, 0.40),
            BenchRegion("kota-kinabalu", "sabah", 3, 0.32),
            BenchRegion("kuching", "sarawak", 2, 0.28),
        ),
        slots=3,
        shared_words=192,
        unique_words=32,
        prefix_groups=6,
        workspace_prefixes=True,
        cache_blocks=160,
        cost_weight=0.8,
        tail_weight=0.2,
        client_delay_s=0.001,
        plain_rates_per_s={LOOKUP: 14.0, BOOKING: 6.0},
    ),
    "brazos": Deployment(
        "brazos",
        "lantern-llm",
        "lantern-9b",
        "loan-desk",
        "/loans",
        ("/reservations", "/loans"),
        (
            BenchRegion("gulf-a", "gulf", 3, 0.45),
            BenchRegion("hill-a", "hill", 2, 0.30),
            BenchRegion("plains-a", "plains", 1, 0.25),
        ),
        slots=4,
        shared_words=640,
        unique_words=32,
        prefix_groups=24,
        workspace_prefixes=False,
        cache_blocks=320,
        cost_weight=0.2,
        tail_weight=0.8,
        client_delay_s=0.003,
        plain_rates_per_s={LOOKUP: 6.0, BOOKING: 6.0},
    ),
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """Model load as a share of the nominal capacity, and the injected faults."""

    load: float = 0.6
    faults: tuple[str, ...] = ()


SCENARIOS = {
    "normal": Scenario(),
    "endpoint_lost": Scenario(faults=("endpoint_lost",)),
    "host_lost": Scenario(faults=("host_lost",)),
    "region_isolated": Scenario(faults=("region_isolated",)),
    "region_tenth": Scenario(faults=("region_tenth",)),
    "double_load": Scenario(1.2),
    "tenth_and_host_lost": Scenario(faults=("region_tenth", "host_lost")),
    "capacity": Scenario(1.0),
    "triple_capacity": Scenario(3.0),
    "half_failing": Scenario(faults=("half_failing",)),
}


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One run: a deployment, a strategy and a scenario."""

    deployment: str
    strategy: str
    scenario: str
    seed: int = 1
    duration_s: float = 12.0

    @property
    def name(self) -> str:
        """Name of the run in reports and file names."""
        return f"{self.deployment}.{self.scenario}.{self.strategy}"


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call of the open-loop workload.

    Parameters
    ----------
    marker : str
        Unique string in the request, by which arrivals at endpoints and answers are
        matched with the call.
    at_s : float
        Seconds from the start of the workload to the call.
    kind : str
        `MODEL`, `LOOKUP` or `BOOKING`.
    region, workspace : str
        Region and workspace of the caller.
    bound : bool
        Whether the workspace's requests must stay in its region.
    prompt : str
        Prompt of a model call; empty for others.
    path : str
        Path of a plain call below the service's name; empty for model calls.
    resent : bool
        Whether the caller sends the call again with the same idempotency key.
    """

    marker: str
    at_s: float
    kind: str
    region: str
    workspace: str
    bound: bool
    prompt: str = ""
    path: str = ""
    resent: bool = False


def compute_capacity(deployment: Deployment) -> float:
    """Return the nominal capacity of all engines in model calls per second."""
    words = deployment.unique_words + deployment.shared_words * (1 - EXPECTED_HIT_SHARE)
    decode_s = ANSWER_TOKENS * TOKEN_S * (1 + BATCH_SLOWDOWN)
    slots = deployment.slots * sum(region.engines for region in deployment.regions)
    return slots / (decode_s + words * PREFILL_S)


def create_plan(spec: RunSpec) -> list[PlannedCall]:
    """Return the calls of a run ordered by time; the same for every strategy."""
    deployment = DEPLOYMENTS[spec.deployment]
    # The seed leaves out the strategy, so that compared runs get the same calls.
    rng = random.Random(f"{spec.seed} {spec.deployment} {spec.scenario}")
    rates_per_s = dict(deployment.plain_rates_per_s)
    rates_per_s[MODEL] = SCENARIOS[spec.scenario].load * compute_capacity(deployment)
    numbers = itertools.count()
    calls = []
    for phase, region in enumerate(deployment.regions):
        for kind, rate in rates_per_s.items():
            for at_s in _draw_arrival_times(rng, spec, rate * region.call_share, phase):
                number = next(numbers)
                calls.append(
                    _create_call(rng, deployment, region.name, kind, at_s, number)
                )
    return sorted(calls, key=lambda call: call.at_s)


def _draw_arrival_times(
    rng: random.Random, spec: RunSpec, mean_rate: float, phase: int
) -> list[float]:
    """Return arrival times of a Poisson process whose peak differs by region."""
    regions = len(DEPLOYMENTS[spec.deployment].regions)
    peak_rate = mean_rate * (1 + PEAK_SWING)
    times = []
    now_s = rng.expovariate(peak_rate)
    while now_s < spec.duration_s:
        angle = 2 * math.pi * (now_s / spec.duration_s + phase / regions)
        rate = mean_rate * (1 + PEAK_SWING * math.sin(angle))
        if rng.random() * peak_rate < rate:
            times.append(now_s)
        now_s += rng.expovariate(peak_rate)
    return times


def _create_call(
    rng: random.Random,
    deployment: Deployment,
    region: str,
    kind: str,
    at_s: float,
    number: int,
) -> PlannedCall:
    marker = f"call-{number}x"
    bound = rng.random() < BOUND_SHARE
    workspace_kind = "bound" if bound else "free"
    workspace = f"{region}-{workspace_kind}-{rng.randrange(WORKSPACES_PER_REGION // 2)}"
    prompt, path, resent = "", "", False
    if kind == MODEL:
        prompt = _create_prompt(rng, deployment, workspace, marker)
    elif kind == LOOKUP:
        path = f"{deployment.lookup_path}/{marker}"
    else:
        path = rng.choice(deployment.booking_paths)
        resent = rng.random() < RESEND_SHARE
    return PlannedCall(
        marker, at_s, kind, region, workspace, bound, prompt, path, resent
    )


def _create_prompt(
    rng: random.Random, deployment: Deployment, workspace: str, marker: str
) -> str:
    # Squaring makes low groups more frequent, as a few prefixes are popular.
    group = int(deployment.prefix_groups * rng.random() ** 2)
    owner = workspace if deployment.workspace_prefixes else ""
    seed = hashlib.sha256(f"{deployment.name} {owner} {group}".encode()).digest()
    shared = random.Random(seed).choices(WORDS, k=deployment.shared_words)
    unique = rng.choices(WORDS, k=deployment.unique_words - 1)
    return " ".join([*shared, marker, *unique])
