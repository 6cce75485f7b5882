"""Load play of regions whose demand peaks one after the other, without a network.

Each region is a `PacePlay` of its own engines and hosts; all share one clock. Hosts
exchange load reports with one host of each other region, and requests cross with the
delay of a link.
"""

import hashlib
import heapq
import math
import random
from collections import Counter

from buckthorndeal.gateway._fleet_messages import (
    Borrower,
    FleetChanged,
    RegionUpdate,
)
from buckthorndeal.gateway._messages import Forward, Grant
from tests.dispatcher_harness import DispatcherHarness
from tests.pace_play import PacePlay

LINK_DELAY_S = 0.08
EXCHANGE_INTERVAL_S = 0.4
PEAK = 2.5
LEAST = 0.2
PEAK_DISTANCE_S = 11.0
BURST = 1.7
BURST_S = 3.0
MAX_FACTOR = PEAK * BURST


class RegionSide(PacePlay):
    """One region of a `RegionPlay`."""

    def __init__(self, region, play, hosts, machines, service_seed, **options):
        super().__init__(hosts=1, machines=machines, seed=service_seed, **options)
        self.region = region
        # Callers of a region share their prompts with each other only.
        self.text_prefix = region
        self.play_of_regions = play
        names = tuple(f"{region}{number}" for number in range(hosts))
        self.hosts = []
        for number, name in enumerate(names):
            host = DispatcherHarness(
                endpoints=machines,
                slots=next(iter(self.machines.values())).slots,
                host=name,
                region=region,
                service="desk" if self.is_plain else "llm",
            )
            rng = random.Random(service_seed * 1000 + number)
            host.dispatcher._rng = host.dispatcher._local._rng = rng
            fleet = FleetChanged(names, play.total_hosts, frozenset())
            host.view.set_fleet(fleet, host.now_s)
            host.name = name
            self.hosts.append(host)
        self.events = play.events
        self.numbers = play.numbers
        self.moved = {}
        # Region whose request just ends; None for one of this region.
        self.origin = None
        self.moves = Counter()
        self.returned = Counter()
        self.received = Counter()
        self.by_second = {}

    def get_factor(self, now_s):
        """Return the demand as a multiple of its mean."""
        return self.play_of_regions.get_factor(self.region, now_s)

    def _plan_arrival(self, kind):
        largest = kind.per_s * len(self.machines) * self.load * MAX_FACTOR
        when_s = self.now_s + self.rng.expovariate(largest)
        self._at(when_s, self._arrive, kind)

    def _arrive(self, kind):
        if self.is_open and self.rng.random() * MAX_FACTOR > self.get_factor(
            self.now_s
        ):
            self._plan_arrival(kind)
            return
        super()._arrive(kind)

    def _apply(self, decision, kind, host, attempt_id, prompt, arrived_s):
        if isinstance(decision, Forward):
            host.finish(attempt_id)
            self.moves[kind.name, decision.region] += 1
            target = self.play_of_regions.sides[decision.region]
            self.play_of_regions.record_move(self.region, decision.region, self.now_s)
            if self.play_of_regions.is_cut(self.region, decision.region):
                self._at(
                    arrived_s + kind.deadline_s, self._count, kind, arrived_s, "vain"
                )
                return
            # The whole body crosses the link.
            arguments = (kind, decision.host, prompt, arrived_s, self, host)
            self._at(self.now_s + LINK_DELAY_S, target.receive, *arguments)
            return
        super()._apply(decision, kind, host, attempt_id, prompt, arrived_s)

    def receive(self, kind, name, prompt, arrived_s, origin, origin_host):
        """Serve a request of another region, or return it as not run."""
        self.received[kind.name] += 1
        host = next(each for each in self.hosts if each.name == name)
        host.now_s = self.now_s
        decision = host.submit(
            prompt,
            route=self.routes[kind],
            hops=(origin_host.name,),
            call_fields={"crossed": True},
        )
        self.moved[host, host.attempt_id] = origin
        if isinstance(decision, Grant):
            super()._apply(decision, kind, host, host.attempt_id, prompt, arrived_s)
            return
        # It does not wait in the play.
        host.finish(host.attempt_id)
        arguments = (kind, prompt, arrived_s, origin_host, self.region)
        self._at(self.now_s + LINK_DELAY_S, origin.take_back, *arguments)

    def take_back(self, kind, prompt, arrived_s, host, region):
        """Serve a request here that another region has not run."""
        self.returned[kind.name] += 1
        host.now_s = self.now_s
        decision = host.submit(
            prompt, route=self.routes[kind], excluded=frozenset({region})
        )
        if isinstance(decision, Grant):
            super()._apply(decision, kind, host, host.attempt_id, prompt, arrived_s)
            return
        host.finish(host.attempt_id)
        self._count(kind, arrived_s, "refused")

    def _end(self, job, outcome):
        origin = self.moved.get((job.host, job.attempt_id))
        if origin is not None:
            # The response crosses the link.
            job.first_s += LINK_DELAY_S
        self._count_for(origin, super()._end, job, outcome)

    def _leave(self, job, machine):
        if not job.ended:
            origin = self.moved.get((job.host, job.attempt_id))
            self._count_for(origin, super()._leave, job, machine)

    def _count_for(self, origin, function, *arguments):
        self.origin = origin
        function(*arguments)
        self.origin = None

    def _count(self, kind, arrived_s, result):
        if self.origin is not None:
            origin, self.origin = self.origin, None
            origin._count(kind, arrived_s, result)
            return
        if arrived_s >= self.counts_from_s:
            second = int(arrived_s - self.start_s)
            self.by_second.setdefault(second, Counter())[result] += 1
        super()._count(kind, arrived_s, result)


class RegionPlay:
    """Plays the demand of three regions.

    Parameters
    ----------
    sizes : dict of str to int
        Endpoints by region.
    hosts : dict of str to int
        Entry hosts by region.
    factor : callable, optional
        Returns the demand of a region as a multiple of its mean, from the region and
        the seconds since the start; by default, peaks one after the other.
    """

    def __init__(self, sizes=None, hosts=None, factor=None, seed=1, **options):
        self.sizes = sizes or {"a": 8, "b": 6, "c": 4}
        hosts = hosts or {"a": 5, "b": 4, "c": 3}
        self.total_hosts = sum(hosts.values())
        self.factor = factor
        first = PacePlay(hosts=1, machines=1)
        self.events, self.numbers = [], first.numbers
        self.now_s = self.start_s = first.now_s
        self.rng = random.Random(seed)
        self.cut = set()
        self.cut_s = None
        self.moves = []
        self.sides = {
            region: RegionSide(
                region, self, hosts[region], size, seed * 10 + number, **options
            )
            for number, (region, size) in enumerate(self.sizes.items())
        }

    def get_factor(self, region, now_s):
        """Return the demand of a region as a multiple of its mean."""
        passed_s = now_s - self.start_s
        if self.factor is not None:
            return self.factor(region, passed_s)
        period_s = PEAK_DISTANCE_S * len(self.sizes)
        peak_s = PEAK_DISTANCE_S * (0.5 + list(self.sizes).index(region))
        distance_s = (passed_s - peak_s + period_s / 2) % period_s - period_s / 2
        share = (1 + math.cos(2 * math.pi * distance_s / period_s)) / 2
        burst = BURST if abs(distance_s) < BURST_S / 2 else 1.0
        return (LEAST + (PEAK - LEAST) * share**2) * burst

    def is_cut(self, first, second):
        """Return whether no message passes between two regions."""
        return first in self.cut or second in self.cut

    def record_move(self, source, target, now_s):
        """Keep a forwarded request for the checks."""
        self.moves.append((now_s - self.start_s, source, target))

    def play(self, seconds=33.0, warm_up_s=2.0):
        """Send requests; those of the first seconds don't count."""
        for side in self.sides.values():
            side.counts_from_s = self.now_s + warm_up_s
            for kind in side.kinds:
                side._plan_arrival(kind)
            side._at(self.now_s, side._send_heartbeats)
            if side.slow_phases:
                for machine in side.machines.values():
                    when_s = self.now_s + side._draw_sound_s()
                    side._at(when_s, side._slow_down, machine)
            for host in side.hosts:
                when_s = self.now_s + self.rng.uniform(0, EXCHANGE_INTERVAL_S)
                side._at(when_s, self._exchange, side, host)
        self._run_until(self.now_s + seconds)
        for side in self.sides.values():
            side.is_open = False
        last_s = self.now_s + 16.0
        while any(side.open_jobs for side in self.sides.values()):
            if self.now_s >= last_s:
                break
            self._run_until(self.now_s + 0.5)
        return self

    def _run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            now_s, _, function, arguments = heapq.heappop(self.events)
            self._set_now(now_s)
            function(*arguments)
        self._set_now(end_s)

    def _set_now(self, now_s):
        self.now_s = now_s
        for side in self.sides.values():
            side.now_s = now_s

    def _exchange(self, side, host):
        """Ask one host of each other region for its load."""
        next_s = self.now_s + EXCHANGE_INTERVAL_S * self.rng.uniform(0.9, 1.1)
        side._at(next_s, self._exchange, side, host)
        for region, other in self.sides.items():
            if region == side.region or self.is_cut(region, side.region):
                continue
            partner = min(
                other.hosts,
                key=lambda each: hashlib.blake2b(
                    f"{host.name} {each.name}".encode()
                ).digest(),
            )
            side._at(self.now_s + LINK_DELAY_S, self._answer, side, host, partner)

    def _answer(self, side, host, partner):
        update = self.describe(host, partner)
        side._at(self.now_s + LINK_DELAY_S, self._update, host, update)

    def describe(self, host, partner):
        """Return the report of a host for a host of another region."""
        host.now_s = partner.now_s = self.now_s
        own = host.dispatcher.describe_region(self.now_s)
        wanted = {each.service: each.wanted for each in own}
        hosts = len(self.sides[host.region].hosts)
        borrower = Borrower(host.region, hosts, wanted)
        loads = partner.dispatcher.describe_region(self.now_s, borrower)
        return RegionUpdate.create(partner.region, partner.name, loads)

    def _update(self, host, update):
        host.now_s = self.now_s
        host.dispatcher.update_region(update, self.now_s)

    def get_share(self, region=None, kind=None, result="in time"):
        """Return the share of requests with a result, by region and kind."""
        totals = Counter()
        for name, side in self.sides.items():
            if region in (None, name):
                for kind_name, results in side.results.items():
                    if kind in (None, kind_name):
                        totals.update(results)
        return totals[result] / max(1, totals.total())

    def get_worst_share(self, seconds=4):
        """Return the share served in time in the worst seconds of all regions."""
        shares = []
        for side in self.sides.values():
            for results in side.by_second.values():
                if results.total() >= 10:
                    shares.append(results["in time"] / results.total())
        shares.sort()
        return sum(shares[:seconds]) / max(1, len(shares[:seconds]))

    def count(self, name):
        """Return the sum of a counter or number of all regions."""
        values = [getattr(side, name) for side in self.sides.values()]
        return sum(
            each.total() if isinstance(each, Counter) else each for each in values
        )

    def count_requests(self):
        """Return the number of requests that count."""
        return sum(
            results.total()
            for side in self.sides.values()
            for results in side.results.values()
        )

    def describe_results(self):
        """Return the results by region, and what was moved."""
        lines = [f"{name}: {side.describe()}" for name, side in self.sides.items()]
        moves = Counter()
        for side in self.sides.values():
            moves.update(side.moves)
        lines.append(
            f"served {self.get_share():.4f} worst seconds {self.get_worst_share():.3f}"
            f" moved {self.count('moves')} of {self.count_requests()} {dict(moves)}"
            f" returned {self.count('returned')}"
            f" prefilled {self.count('prefilled')} fetched {self.count('fetched')}"
        )
        return "\n".join(lines)
