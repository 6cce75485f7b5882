"""Play of entry hosts that lose their path to all endpoints, without a network."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from buckthorndeal.policy.views import AttemptOutcome
from tests.crash_play import CALM_S, POLL_S
from tests.repeat_play import BOOKING, PlayCall, RepeatPlay, RestartingHost

CONNECT_TIMEOUT_S = 0.4
REFUSAL_S = 0.001
# Silence after which an attempt that may be repeated is ended on a lost path.
ATTEMPT_SILENCE_S = 0.4
# From the report of a host until all others know of it.
NEWS_S = (0.05, 0.6)
# Time in which a host notices that its path is back.
MAX_RETURN_S = 1.5
MANNERS = ("hang", "reset", "refuse")


@dataclass(eq=False)
class CutOffHost(RestartingHost):
    """Entry host that may lose its path: (start, end, manner) of each loss."""

    losses: list = field(default_factory=list)
    reported: bool = True

    def find_loss(self, now_s):
        """Return the manner of the loss at `now_s`, or None."""
        return next(
            (manner for start, end, manner in self.losses if start <= now_s < end),
            None,
        )

    def was_cut_off_of_late(self, now_s):
        """Return whether the path is lost, or was so short a time ago."""
        return any(start <= now_s < end + MAX_RETURN_S for start, end, _ in self.losses)

    def counts_as_cut_off(self, now_s):
        """Return whether the loss began long enough ago for the rule to count."""
        return any(start + CALM_S <= now_s < end for start, end, _ in self.losses)


@dataclass(eq=False)
class FirstTry:
    """First attempt of a caller, at which host, and what came of it."""

    call: PlayCall
    sent_s: float
    cut_off: bool
    in_touch: bool
    outcome: str = "open"


class PathPlay(RepeatPlay):
    """Plays lookups and bookings at hosts that reach no endpoint for some time.

    Parameters
    ----------
    hosts, endpoints : int
        Numbers of entry hosts and endpoints; both are spread over three regions.
    seed : int
        Seed of all draws.
    """

    def __init__(self, hosts=24, endpoints=9, seed=1):
        super().__init__(hosts, endpoints, seed)
        self.hosts = [
            CutOffHost(each.name, each.region, each.harness) for each in self.hosts
        ]
        self.first_tries = {}
        self.runs = Counter()
        self.refused_ids = set()
        self.passed_on_twice = 0
        self.false_losses = 0
        self._silent = set()

    def lose_paths(self, region, share, from_s, for_s, manner):
        """Plan that hosts of a region lose their path to all endpoints."""
        hosts = [each for each in self.hosts if each.region == region]
        chosen = self.rng.sample(hosts, max(1, round(share * len(hosts))))
        start_s = self.now_s + from_s
        for host in chosen:
            host.losses.append((start_s, start_s + for_s, manner))
            self._schedule(start_s, self._lose_path, host, manner)

    def silence_endpoint(self, number, from_s, for_s):
        """Plan that an endpoint accepts no connection and answers nothing."""
        self._schedule(self.now_s + from_s, self._silent.add, number)
        self._schedule(self.now_s + from_s + for_s, self._silent.discard, number)

    def lose_endpoints(self, from_s):
        """Plan that all endpoints of the first region crash at once."""
        for endpoint in self.engines:
            if endpoint.region == 0:
                self._schedule(self.now_s + from_s, self._crash_now, endpoint)

    def play_paths(self, seconds, per_s):
        start_s = self.now_s
        for step in range(int(seconds / POLL_S)):
            self._schedule(start_s + step * POLL_S, self._spread_news)
        self.play_calls(seconds, per_s, [])

    def measure_first_tries(self):
        """Return the shares of first attempts served, without a path and with one."""
        shares = []
        for cut_off in (True, False):
            chosen = [
                each.outcome == "served"
                for each in self.first_tries.values()
                if each.cut_off is cut_off and each.in_touch
            ]
            shares.append(sum(chosen) / max(1, len(chosen)))
        return shares

    def count_failed_first_tries(self):
        """Return the failures at hosts without a path, and how many the rule allows."""
        counted = [each for each in self.first_tries.values() if each.in_touch]
        failed = sum(each.cut_off and each.outcome != "served" for each in counted)
        return failed, 10 + len(counted) / 50

    def count_cut_off_tries(self):
        """Return the first attempts at hosts without a path that count."""
        return sum(each.cut_off and each.in_touch for each in self.first_tries.values())

    def count_repeated_bookings(self):
        """Return the attempts of bookings that have run more than once."""
        return sum(count > 1 for count in self.runs.values())

    def count_false_refusals(self):
        """Return the bookings that have run and were said not to have."""
        return sum(request_id in self.runs for request_id in self.refused_ids)

    def _offer(self, leg):
        if leg.origin is None and leg.call not in self.first_tries:
            host = leg.host
            self.first_tries[leg.call] = FirstTry(
                leg.call,
                self.now_s,
                host.counts_as_cut_off(self.now_s),
                host.is_in_touch(self.now_s),
            )
        if leg.origin is not None and leg.origin.origin is not None:
            self.passed_on_twice += 1
        super()._offer(leg)

    def _end_leg(self, leg, outcome):
        if not leg.ended and leg.origin is None:
            if outcome == "refused" and not leg.runs and leg.call.route is BOOKING:
                self.refused_ids.add(leg.request_id)
        super()._end_leg(leg, outcome)

    def _end_call(self, call, outcome):
        first = self.first_tries.get(call)
        if first is not None and first.outcome == "open":
            first.outcome = outcome
        super()._end_call(call, outcome)

    def _send_to_endpoint(self, leg, attempt_id, record):
        manner = leg.host.find_loss(self.now_s)
        if manner is None and not self._is_silent(record):
            if leg.call.route is BOOKING and self._is_accepted(leg.host, record):
                self.runs[leg.request_id] += 1
            super()._send_to_endpoint(leg, attempt_id, record)
            return
        hangs = manner in (None, "hang")
        delay_s = CONNECT_TIMEOUT_S if hangs else REFUSAL_S
        at_s = self.now_s + delay_s
        self._schedule(at_s, self._fail_to_connect, leg, attempt_id)

    def _is_silent(self, record):
        endpoint = self._find_engine(record)
        return endpoint is not None and endpoint.number in self._silent

    def _is_accepted(self, host, record):
        if host.find_loss(self.now_s) is not None or self._is_silent(record):
            return False
        return super()._is_accepted(host, record)

    def _fail_to_connect(self, leg, attempt_id):
        if not leg.is_lost:
            self._finish(leg.host, attempt_id, AttemptOutcome.CONNECT_FAILED)
            self._fail_attempt(leg, ran=False)

    def _lose_path(self, host, manner):
        """Break the attempts under way, or keep their answers back."""
        for endpoint in self.engines:
            for key in [key for key in endpoint.running if key[0] == host.name]:
                leg, attempt_id = endpoint.running[key]
                if leg.is_lost or manner == "refuse":
                    continue
                del endpoint.running[key]
                if manner == "reset":
                    self._break_attempt(leg, attempt_id)
                else:
                    self._schedule(
                        self.now_s + POLL_S, self._wait_in_silence, leg, attempt_id, 0.0
                    )

    def _wait_in_silence(self, leg, attempt_id, silent_s):
        """Deliver an answer that was kept back, or end its attempt as a host does."""
        if leg.is_lost or leg.ended:
            return
        if leg.host.find_loss(self.now_s) is None:
            self._complete(leg, attempt_id)
            return
        if leg.host.harness.dispatcher.reach.is_lost:
            silent_s += POLL_S
            if leg.call.route.retryable and silent_s >= ATTEMPT_SILENCE_S:
                self._finish(leg.host, attempt_id, AttemptOutcome.BROKEN, False)
                self._fail_attempt(leg, ran=True)
                return
        at_s = self.now_s + POLL_S
        self._schedule(at_s, self._wait_in_silence, leg, attempt_id, silent_s)

    def _poll(self, host):
        super()._poll(host)
        if host.harness.dispatcher.reach.is_lost:
            if not host.was_cut_off_of_late(self.now_s):
                self.false_losses += 1

    def _spread_news(self):
        """Have hosts learn which ones of their region reach endpoints."""
        for host in self.hosts:
            reaches = not host.harness.dispatcher.reach.is_lost
            if host.is_down(self.now_s) or reaches == host.reported:
                continue
            host.reported = reaches
            for other in self.hosts:
                if other.region == host.region and not host.is_cut(self.now_s):
                    at_s = self.now_s + self.rng.uniform(*NEWS_S)
                    self._schedule(at_s, self._update_relays, other)

    def _update_relays(self, host):
        relays = tuple(
            each.name
            for each in self.hosts
            if each.region == host.region
            and each.reported
            and each is not host
            and not each.is_down(self.now_s)
        )
        fleet = replace(self._fleets[host.name], relay_hosts=relays)
        self._fleets[host.name] = fleet
        host.harness.view.set_fleet(fleet, self.now_s)

    def _kill(self, host):
        super()._kill(host)
        host.reported = True


def create_path_play(hosts, endpoints, seed):
    """Return a play in which all hosts know each other as relays."""
    play = PathPlay(hosts, endpoints, seed)
    for host in play.hosts:
        play._update_relays(host)
    return play


def disturb_all(play, seed):
    """Plan the loss of a coordinator, and hosts that are killed."""
    play.coordinators[0].lost_s = play.now_s + random.Random(seed).uniform(5, 15)
    play.kill_hosts(seed)
