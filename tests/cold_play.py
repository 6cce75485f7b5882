"""Play of endpoints that become cold, once and again, while hosts come and go.

Usage: python -m tests.cold_play FIRST_SEED SEEDS [GATEWAYS...]
"""

import sys

from buckthorndeal.subsetting import choose_owner
from tests.cold_endpoint import (
    CERTAIN_CAUSES,
    COLD_START_S,
    Arrival,
    ColdCause,
    PlayEndpoint,
    find_most,
)
from tests.cold_hosts import COLD_PER_S
from tests.cold_network import FLUSH_S, MESSAGE_S, ColdNetwork
from tests.cold_report import ColdReport, describe
from tests.play_command import parse_seeds, play_all

# Gateways, with the coordinators beside them, and how often each gateway sends.
SIZES = {4: (3, 0.05), 24: (5, 0.1), 76: (9, 0.2)}
ENDPOINTS = 8
DOMAINS = ("a-1", "a-2", "a-3", "a-4")
HEARTBEAT_S = 1.2
MAX_LATE_S = 2.0
# Calm at first, until all hosts know each other.
CALM_S = 5.0
LENGTH_S = 35.0
# A heartbeat that has arrived could have told a host after this time.
TELL_S = FLUSH_S + MESSAGE_S[1] + 0.02
# An endpoint is at its full rate again this long after it is warm: the last heartbeat
# of a cold time may be late and then go to another coordinator, and a coordinator that
# has just started hears of the end of an evacuation when it has caught up.
RECOVERY_S = 3.5
CHECK_S = 0.5
# All gateways that are reached have heard of an evacuation after this time.
COMMIT_MARGIN_S = 0.5
# After this time a host that was away sends to cold endpoints again.
RETURN_S = 1.0
# Records of endpoints that are gone are kept for a time.
RECORDS_PER_ENDPOINT = 2
KEPT_S = 18.0


class ColdPlay(ColdNetwork):
    """Plays endpoints that become cold, and all callers' requests to them.

    Parameters
    ----------
    gateways : int
        Number of gateways, one of `SIZES`.
    seed : int
        Seed of all draws.
    """

    def __init__(self, gateways, seed):
        coordinators, self.interval_s = SIZES[gateways]
        super().__init__(gateways, coordinators, (gateways << 32) + seed)
        self.seed = seed
        self.start_s = self.now_s
        self.end_s = self.now_s + LENGTH_S
        self.report = ColdReport()
        self.endpoints = {}
        self.gone = []
        # Begin of the evacuations, by domain.
        self._begun_s = {}
        for number in range(ENDPOINTS):
            self._add_endpoint(DOMAINS[number % len(DOMAINS)])

    def play(self):
        """Play from the begin to the end, and check what is there then."""
        for gateway in self.gateways:
            offset_s = self.rng.uniform(0, self.interval_s)
            args = (self.interval_s, self.end_s, self._load, gateway)
            self.repeat(offset_s, *args)
        self.repeat(CALM_S, CHECK_S, self.end_s, self._check_recovery)
        disturbed_s = self.start_s + CALM_S
        self._plan_series(disturbed_s, 1.4, self._change_endpoint)
        self._plan_series(disturbed_s, 6.0, self._begin_evacuation)
        self._plan_series(disturbed_s, 2.5, self._disturb_gateway)
        self._plan_series(disturbed_s, 4.0, self._disturb_coordinator)
        self.run(self.end_s)
        self._check_arrivals()

    # Endpoints

    def _add_endpoint(self, domain, cause=None):
        number = len(self.endpoints) + len(self.gone)
        address = f"10.1.9.{number}:80"
        endpoint = PlayEndpoint(f"e{number}", domain, address, self.now_s)
        endpoint.registrar = self.rng.randrange(len(self.coordinators))
        endpoint.evacuated_until_s = self.now_s
        if domain in self._begun_s:
            endpoint.evacuated_until_s = self.end_s
        if cause is not None:
            endpoint.become_cold(cause, self.now_s)
        self.endpoints[endpoint.name] = endpoint
        self._beat(endpoint, endpoint.incarnation)

    def _beat(self, endpoint, incarnation):
        """Send the heartbeats of one process, the first one now."""
        if not endpoint.is_running or endpoint.incarnation != incarnation:
            return
        self._send_heartbeat(endpoint)
        self.schedule(self.now_s + HEARTBEAT_S, self._beat, endpoint, incarnation)

    def _send_heartbeat(self, endpoint, late_s=0.0):
        record = endpoint.create_heartbeat(self.now_s)
        if self.now_s < endpoint.silent_until_s:
            return
        is_calm = self.now_s < self.start_s + CALM_S
        draw = 1.0 if is_calm else self.rng.random()
        if draw < 0.05:
            return
        if draw < 0.2:
            late_s = max(late_s, self.rng.uniform(0, MAX_LATE_S))
        self._deliver(endpoint, record, endpoint.registrar, late_s)
        if 0.2 <= draw < 0.3:
            other = self.rng.randrange(len(self.coordinators))
            late_s = self.rng.uniform(0, MAX_LATE_S)
            self._deliver(endpoint, record, other, late_s)

    def _deliver(self, endpoint, record, number, late_s):
        at_s = self.now_s + late_s + self.rng.uniform(*MESSAGE_S)
        self.schedule(at_s, self._receive_heartbeat, endpoint, record, number)

    def _receive_heartbeat(self, endpoint, record, number):
        coordinator = self.coordinators[number]
        if not coordinator.is_running:
            running = [
                number
                for number, each in enumerate(self.coordinators)
                if each.is_running
            ]
            if running:
                endpoint.registrar = self.rng.choice(running)
                late_s = self.rng.uniform(0, 0.3)
                self._deliver(endpoint, record, endpoint.registrar, late_s)
            return
        coordinator.receive_heartbeat(record, self.now_s)
        for gateway in coordinator.gateways.values():
            self._note_told(gateway, coordinator, endpoint, TELL_S)

    def note_connection(self, gateway, coordinator):
        """Note what a coordinator could tell a gateway that connects."""
        for endpoint in self.endpoints.values():
            self._note_told(gateway, coordinator, endpoint, 1.5 * MESSAGE_S[1])

    def _note_told(self, gateway, coordinator, endpoint, delay_s):
        for time in endpoint.list_cold_times(self.now_s)[-1:]:
            if not coordinator.knows_cold_time(endpoint, time):
                continue
            ids = (gateway.generation, coordinator.generation)
            args = (gateway, coordinator, ids, time)
            self.schedule(self.now_s + delay_s, self._confirm_told, *args)

    def _confirm_told(self, gateway, coordinator, ids, time):
        is_same = ids == (gateway.generation, coordinator.generation)
        if is_same and coordinator.name in gateway.connected:
            time.told_s.setdefault((gateway.name, gateway.process), self.now_s)

    def _change_endpoint(self):
        """Let an endpoint become cold in one of the ways that the pages name."""
        usable = [each for each in self.endpoints.values() if each.is_running]
        if not usable:
            return
        endpoint = self.rng.choice(usable)
        draw = self.rng.random()
        if draw < 0.5:
            endpoint.become_cold(ColdCause.AGAIN, self.now_s)
            self._send_heartbeat(endpoint)
            return
        endpoint.end(self.now_s)
        back_s = self.now_s + self.rng.uniform(0.2, 2.5)
        start = self._replace_endpoint if draw < 0.7 else self._restart_endpoint
        self.schedule(back_s, start, endpoint)

    def _restart_endpoint(self, endpoint):
        endpoint.restart(self.now_s)
        endpoint.become_cold(ColdCause.RESTARTED, self.now_s)
        self._beat(endpoint, endpoint.incarnation)

    def _replace_endpoint(self, endpoint):
        del self.endpoints[endpoint.name]
        self.gone.append(endpoint)
        endpoint.gone_s = self.now_s
        self._add_endpoint(endpoint.failure_domain, ColdCause.NEW)

    # Evacuations

    def _begin_evacuation(self):
        domain = self.rng.choice(DOMAINS)
        if domain in self._begun_s or not self.has_majority():
            return
        self._begun_s[domain] = self.now_s
        for endpoint in self._list_domain(domain):
            endpoint.evacuated_until_s = self.end_s
        for coordinator in self.coordinators:
            if coordinator.is_running and self.rng.random() < 0.5:
                evacuated = coordinator.evacuated
                coordinator.set_evacuated(evacuated, self.now_s, [domain])
                self.tell_all(coordinator, [coordinator.create_notice(self.now_s)])
        self.commit(self.evacuated | {domain})
        end_s = self.now_s + self.rng.uniform(1.2, 5.0)
        cold_s = end_s - self.rng.uniform(0, 1.0)
        self.schedule(cold_s, self._cool_domain, domain)
        self.schedule(end_s, self._end_evacuation, domain)

    def _cool_domain(self, domain):
        """Let endpoints become cold, with a heartbeat now, a late one or none."""
        for endpoint in self._list_domain(domain):
            if not endpoint.is_running or self.rng.random() < 0.25:
                continue
            cause, begun_s = ColdCause.TAKEN_BACK, self._begun_s[domain]
            endpoint.become_cold(cause, self.now_s, begun_s)
            draw = self.rng.random()
            if draw < 0.33:
                self._send_heartbeat(endpoint)
            elif draw < 0.66:
                self._send_heartbeat(endpoint, self.rng.uniform(0, MAX_LATE_S))
            else:
                endpoint.silent_until_s = self.now_s + COLD_START_S

    def _end_evacuation(self, domain):
        if not self.has_majority():
            self.schedule(self.now_s + 0.2, self._end_evacuation, domain)
            return
        del self._begun_s[domain]
        for endpoint in self._list_domain(domain):
            endpoint.evacuated_until_s = self.now_s
        self.commit(self.evacuated - {domain})
        if self.rng.random() < 0.5:
            gateway = self.rng.choice(self.gateways)
            self.stop(gateway, self.rng.uniform(0.1, 0.8))

    def _list_domain(self, domain):
        endpoints = self.endpoints.values()
        return [each for each in endpoints if each.failure_domain == domain]

    # Disturbances

    def _plan_series(self, from_s, mean_s, action):
        at_s = from_s + self.rng.uniform(0, mean_s)
        while at_s < self.end_s - 2.0:
            self.schedule(at_s, action)
            at_s += self.rng.uniform(0.4, 1.6) * mean_s

    def _disturb_gateway(self):
        count = max(1, len(self.gateways) // 8)
        draw = self.rng.random()
        for gateway in self.rng.sample(self.gateways, count):
            if draw < 0.45:
                self.freeze(gateway, self.rng.uniform(1.0, 4.0))
            elif draw < 0.75:
                self.stop(gateway, self.rng.uniform(0.2, 3.0))
            else:
                self.cut(gateway, self.rng.uniform(3.0, 8.0))

    def _disturb_coordinator(self):
        if self.rng.random() < 0.25:
            for coordinator in self.coordinators:
                down_s = self.rng.choice((0.3, 1.0, 3.0)) + self.rng.uniform(0, 0.5)
                self.kill_coordinator(coordinator, down_s)
        else:
            coordinator = self.rng.choice(self.coordinators)
            self.kill_coordinator(coordinator, self.rng.uniform(0.3, 3.0))

    # Load and checks

    def _load(self, gateway):
        if gateway.is_running and not gateway.is_frozen(self.now_s):
            self._send_requests(gateway)

    def resume_load(self, gateway):
        """Send what callers have sent to a process that was stopped."""
        start_s, end_s = gateway.absences[0]
        frozen_s = end_s - start_s
        for _ in range(int(frozen_s / self.interval_s)):
            at_s = self.now_s + self.rng.uniform(0, 0.05)
            self.schedule(at_s, self._load, gateway)

    def _send_requests(self, gateway):
        for load in gateway.choose_all(self.now_s):
            endpoint = self.endpoints.get(load.name)
            if endpoint is None or not endpoint.is_running:
                continue
            times = self._list_certain(gateway, endpoint)
            if not times:
                continue
            knew = load.is_cold(self.now_s)
            arrival = Arrival(self.now_s, gateway.name, knew, gateway.state)
            endpoint.arrivals.append(arrival)
            for time in times:
                time.arrivals.append(arrival)

    def _list_certain(self, gateway, endpoint):
        """Return the cold times of which a host could have known."""
        certain = []
        for time in endpoint.list_cold_times(self.now_s):
            if (gateway.name, gateway.process) in time.told_s:
                certain.append(time)
                continue
            if time.cause not in CERTAIN_CAUSES:
                continue
            reached_s = max(gateway.reached_s, gateway.cut_until_s)
            is_reached = gateway.connected and self.now_s >= reached_s
            if is_reached or gateway.lost_s >= time.evacuated_s + COMMIT_MARGIN_S:
                certain.append(time)
            else:
                self.report.unreachable += 1
        return certain

    def _check_recovery(self):
        """Check that no host takes an endpoint for cold that has long been warm."""
        warm_since_s = self.now_s - RECOVERY_S
        for endpoint in self.endpoints.values():
            if endpoint.get_warm_since_s() > warm_since_s or not endpoint.is_running:
                continue
            for gateway in self._list_undisturbed(warm_since_s):
                load = gateway.view.loads.get(endpoint.name)
                if load is None:
                    continue
                self.report.checked += 1
                if load.is_cold(self.now_s):
                    seen = f"{endpoint.name} at {gateway.name}, {self.now_s:.2f}"
                    self.report.held.append(seen)

    def _list_undisturbed(self, since_s):
        most = len(self.coordinators) / 2
        return [
            gateway
            for gateway in self.gateways
            if gateway.is_running
            and gateway.frozen_until_s < since_s
            and sum(each <= since_s for each in gateway.connected.values()) > most
        ]

    def _check_arrivals(self):
        report = self.report
        for endpoint in [*self.endpoints.values(), *self.gone]:
            for time in endpoint.cold_times:
                most = find_most(time.arrivals)
                if len(most) > len(report.most.get(time.cause, ())):
                    report.most[time.cause] = most
                self._add_use(endpoint, time)
        undisturbed = self._list_undisturbed(self.now_s - RECOVERY_S)
        counts = [each.count_records() for each in undisturbed]
        report.records = max(counts, default=0)
        recent = [each for each in self.gone if each.gone_s > self.now_s - KEPT_S]
        known = len(self.endpoints) + len(recent)
        report.max_records = RECORDS_PER_ENDPOINT * known

    def _add_use(self, endpoint, time):
        """Add what an endpoint got, and could have got, in a cold time.

        Times in which the host was away that sends to it are left out.
        """
        owner_name = choose_owner(endpoint.name, [each.name for each in self.gateways])
        owner = next(each for each in self.gateways if each.name == owner_name)
        told_s = [at_s for (name, _), at_s in time.told_s.items() if name == owner_name]
        from_s = max(min(told_s, default=time.end_s), endpoint.evacuated_until_s)
        until_s = min(time.end_s, self.end_s, *endpoint.list_ends(time.start_s))
        was_away = any(
            start_s < until_s and end_s + RETURN_S > from_s
            for start_s, end_s in owner.absences
        )
        if from_s < until_s and not was_away:
            self.report.usable += (until_s - from_s) * COLD_PER_S
            self.report.used += sum(
                from_s <= each.at_s < until_s for each in endpoint.arrivals
            )


def main(arguments):
    """Play the seeds of a command line at all sizes, or at those that it names."""
    seeds, sizes = parse_seeds(arguments)
    plays = (ColdPlay(int(size), seed) for size in sizes or SIZES for seed in seeds)
    play_all(plays, describe)


if __name__ == "__main__":
    main(sys.argv[1:])
