"""Tests that play requests against the dispatcher, without a network."""

import random
import unittest
from dataclasses import replace

from buckthorndeal.configuration import (
    RequestKind,
)
from buckthorndeal.fleet import EndpointState
from buckthorndeal.gateway._messages import (
    FleetChanged,
    Forward,
    Grant,
    Refusal,
    RefusalReason,
    RegionHeard,
)
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import ROUTE, Game, create_prompt


class PlacingTest(unittest.TestCase):
    """Requests go where they wait least and where their text is kept."""

    def test_shared_texts_stay_in_one_place(self):
        """Light load: two hosts keep each text at the same single endpoint."""
        places = {}
        for host in range(2):
            game = Game()
            rng = random.Random(host)
            for number in range(300):
                text = rng.randrange(20)
                decision = game.ask(create_prompt(text, number))
                places.setdefault(text, set()).add(decision.endpoint.endpoint)
                game.now_s += 0.2
                game.beat()
                game.dispatcher.start(game.ticket, None, game.now_s)
                game.end(game.ticket)
        self.assertEqual([len(each) for each in places.values()], [1] * 20)

    def test_hot_text_overflows(self):
        """A burst on one text is spread once its endpoint is busy."""
        game = Game()
        chosen = [game.ask(create_prompt(1, number)) for number in range(40)]
        names = {each.endpoint.endpoint for each in chosen if isinstance(each, Grant)}
        self.assertEqual(len(names), 3)

    def test_overflow_copies_from_the_keeper(self):
        """What overflows is not read again; the keeper itself copies from nobody."""
        game = Game()
        chosen = [game.ask(create_prompt(1, number)) for number in range(40)]
        granted = [each for each in chosen if isinstance(each, Grant)]
        keeper = granted[0].endpoint
        for each in granted:
            expected = None if each.endpoint == keeper else keeper.address
            self.assertEqual(each.cache_source, expected)

    def test_backlog_stays_within_the_objective(self):
        """Three times the capacity: what would come late is refused at once."""
        game = Game(endpoints=1)
        decisions = [game.ask(create_prompt(n, n)) for n in range(60)]
        granted = [each for each in decisions if isinstance(each, Grant)]
        refused = [each for each in decisions if isinstance(each, Refusal)]
        self.assertTrue(granted)
        self.assertTrue(refused)
        for each in granted:
            self.assertLessEqual(each.predicted_s, ROUTE.latency_objective_s)
        for each in refused:
            self.assertIs(each.reason, RefusalReason.OVERLOADED)
            self.assertGreater(each.retry_after_s, 0)

    def test_draining_silent_and_evacuated_endpoints(self):
        game = Game()
        game.beat(["e0"], state=EndpointState.DRAINING)
        game.beat(["e1"], failure_domain="a-2")
        game.view.set_fleet(FleetChanged(("h1",), 1, frozenset({"a-2"})))
        for number in range(5):
            chosen = game.ask(create_prompt(number, number))
            self.assertEqual(chosen.endpoint.endpoint, "e2")

    def test_silent_endpoint(self):
        game = Game()
        for _ in range(4):
            game.now_s += 1
            game.beat(["e0", "e1"])
        names = {game.ask(create_prompt(n, n)).endpoint.endpoint for n in range(10)}
        self.assertEqual(names, {"e0", "e1"})

    def test_lost_coordinators_make_no_endpoint_silent(self):
        """Guards against refusing all when only the heartbeats are missing."""
        game = Game()
        game.now_s += 20
        self.assertIsInstance(game.ask(create_prompt(1, 1)), Grant)

    def test_cold_endpoint_gets_few_requests_in_any_second(self):
        game = Game(endpoints=1)
        times = []
        for _ in range(400):
            game.now_s += 0.01
            game.beat(cold_s=3.0)
            if isinstance(game.ask(create_prompt(1, 1)), Grant):
                times.append(game.now_s)
        for start in times:
            within = [each for each in times if start <= each < start + 1]
            self.assertLessEqual(len(within), 3)
        self.assertGreater(len(times), 5)

    def test_only_one_host_warms_an_endpoint_up(self):
        granted = 0
        for host in ("h1", "h2", "h3"):
            game = Game(endpoints=1)
            game.dispatcher._host = host
            hosts = FleetChanged(("h1", "h2", "h3"), 3, frozenset())
            game.view.set_fleet(hosts)
            game.beat(cold_s=3.0)
            granted += isinstance(game.ask(create_prompt(1, 1)), Grant)
        self.assertEqual(granted, 1)


class RegionTest(unittest.TestCase):
    """Another region is used when it answers sooner, and never against homes."""

    def setUp(self):
        self.game = Game(endpoints=1)
        heard = RegionHeard("b", "h9", {"llm": 0.05}, {"llm": 5})
        self.game.dispatcher.set_region(heard, self.game.now_s)

    def fill(self, route=ROUTE, hops=()):
        game = self.game
        return [game.ask(create_prompt(n, n), route, hops) for n in range(40)]

    def test_overflow_goes_to_the_other_region(self):
        decisions = self.fill()
        self.assertIsInstance(decisions[0], Grant)
        self.assertTrue([each for each in decisions if isinstance(each, Forward)])

    def test_a_request_crosses_once(self):
        decisions = self.fill(hops=("h9",))
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])

    def test_homes(self):
        at_home = replace(ROUTE, home_regions=frozenset("a"))
        decisions = self.fill(at_home)
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])
        abroad = replace(ROUTE, home_regions=frozenset("b"))
        self.assertIsInstance(self.game.ask(None, abroad), Forward)
        unreached = replace(ROUTE, home_regions=frozenset("c"))
        refusal = self.game.ask(None, unreached)
        self.assertIs(refusal.reason, RefusalReason.HOME_UNREACHABLE)

    def test_too_late_for_the_other_region(self):
        """Guards against sending a request that cannot be answered in time."""
        short = replace(ROUTE, timeout_s=0.2, home_regions=frozenset("b"))
        self.assertIsInstance(self.game.ask(None, short), Refusal)

    def test_stale_load_is_not_used(self):
        self.game.now_s += 3
        self.game.beat()
        decisions = self.fill()
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])


class QueueTest(unittest.TestCase):
    """Requests wait for a slot in order of urgency, and not for long."""

    def create_game(self):
        return Game(endpoints=1, service="desk", slots=3)

    def test_urgent_first(self):
        game = self.create_game()
        calm = replace(ROUTE, priority=2, kind=RequestKind.IDEMPOTENT)
        urgent = replace(calm, priority=0)
        running = []
        while isinstance(game.ask(None, calm), Grant):
            running.append(game.ticket)
        game.ask(None, urgent)
        last = game.ticket
        game.end(running[0])
        decided = game.dispatcher.take_ready(game.now_s)
        self.assertEqual([ticket for ticket, _ in decided], [last])

    def test_waiting_ends_with_a_refusal(self):
        game = self.create_game()
        calm = replace(ROUTE, kind=RequestKind.IDEMPOTENT)
        while isinstance(game.ask(None, calm), Grant):
            pass
        game.now_s += calm.latency_objective_s / 3
        decided = game.dispatcher.take_ready(game.now_s)
        self.assertIsInstance(decided[0][1], Refusal)

    def test_waiting_behind_more_urgent_ones_ends_too(self):
        """Guards against holding less urgent requests until their callers leave."""
        game = self.create_game()
        calm = replace(ROUTE, priority=2, kind=RequestKind.IDEMPOTENT)
        urgent = replace(calm, priority=0)
        while isinstance(game.ask(None, calm), Grant):
            pass
        held = game.ticket
        game.now_s += calm.latency_objective_s / 5
        game.ask(None, urgent)
        game.now_s += calm.latency_objective_s / 10
        decided = dict(game.dispatcher.take_ready(game.now_s))
        self.assertIsInstance(decided[held], Refusal)
        self.assertEqual(list(decided), [held])

    def test_full_queue_refuses_at_once(self):
        """Three times the capacity: nobody waits for a place that won't come."""
        game = self.create_game()
        calm = replace(ROUTE, kind=RequestKind.IDEMPOTENT)
        running, waiting, since = [], set(), {}
        waits, refused_at_once = [], 0
        for step in range(2000):
            game.now_s += 0.005
            if step % 20 == 0:
                game.beat()
            # Each place is free again after 50 ms: 80 requests a second.
            while running and running[0][0] <= game.now_s - 0.05:
                game.end(running.pop(0)[1])
            for ticket, decision in game.dispatcher.take_ready(game.now_s):
                waiting.discard(ticket)
                if isinstance(decision, Grant):
                    running.append((game.now_s, ticket))
                else:
                    waits.append(game.now_s - since[ticket])
            decision = game.ask(None, calm) if step % 5 else None
            if isinstance(decision, Grant):
                running.append((game.now_s, game.ticket))
            elif isinstance(decision, Refusal):
                refused_at_once += 1
            elif step % 5:
                waiting.add(game.ticket)
                since[game.ticket] = game.now_s
        self.assertGreater(refused_at_once, 10 * len(waits))

    def test_withdrawn_request_is_forgotten(self):
        game = self.create_game()
        while isinstance(game.ask(None), Grant):
            pass
        game.dispatcher.finish(game.ticket, None, game.now_s)
        self.assertFalse(game.dispatcher.has_waiting)


class RetryBudgetTest(unittest.TestCase):
    """All hosts together keep the budget of repeats in every window."""

    def test_sum_over_hosts(self):
        hosts, requests, window_s = 4, 200, 10.0
        games = [
            Game(retry_share=0.2, retry_slack=50.0, retry_window_s=window_s)
            for _ in range(hosts)
        ]
        repeats = 0
        for game in games:
            names = tuple(f"h{n}" for n in range(hosts))
            game.view.set_fleet(FleetChanged(names, hosts, frozenset()))
            for number in range(requests):
                game.dispatcher.record_request("llm", game.now_s)
                decision = game.ask(create_prompt(number, number), repeat=True)
                game.end(game.ticket)
                if isinstance(decision, Refusal):
                    self.assertIs(decision.reason, RefusalReason.RETRY_BUDGET)
                repeats += isinstance(decision, Grant)
        self.assertLessEqual(repeats, 0.2 * requests * hosts + 50)
        self.assertGreater(repeats, 0.1 * requests * hosts)


class EvidenceTest(unittest.TestCase):
    """Failures of requests keep an endpoint out, but never all of them."""

    def test_failing_endpoint_is_avoided(self):
        game = Game()
        failing = None
        for number in range(60):
            decision = game.ask(create_prompt(number, number))
            name = decision.endpoint.endpoint
            failing = failing or name
            bad = name == failing
            outcome = AttemptOutcome.BROKEN if bad else AttemptOutcome.SUCCEEDED
            game.end(game.ticket, outcome)
        names = [
            game.ask(create_prompt(n, n)).endpoint.endpoint for n in range(100, 110)
        ]
        self.assertNotIn(failing, names)

    def test_last_endpoint_is_used_though_it_fails(self):
        game = Game(endpoints=1)
        for number in range(10):
            decision = game.ask(create_prompt(number, number))
            self.assertIsInstance(decision, Grant)
            game.end(game.ticket, AttemptOutcome.BROKEN)


class StateTest(unittest.TestCase):
    """The metrics say why endpoints are not used."""

    def test_conditions_of_endpoints(self):
        game = Game(endpoints=5)
        game.now_s += 10
        game.beat(["e0", "e1", "e2", "e3"])
        game.beat(["e1"], state=EndpointState.DRAINING)
        game.beat(["e2"], cold_s=3.0)
        game.beat(["e3"], failure_domain="a-2")
        game.view.set_fleet(FleetChanged(("h1",), 1, frozenset({"a-2"})))
        state = game.dispatcher.describe_service("llm", game.now_s)
        counts = {each.value: count for each, count in state.endpoints.items()}
        expected = dict.fromkeys(("ready", "cold", "silent", "evacuated", "leaving"), 1)
        self.assertEqual(counts, expected)

    def test_retries_and_waiting(self):
        game = Game(endpoints=1, service="desk", slots=3, retry_slack=10.0)
        while isinstance(game.ask(), Grant):
            pass
        state = game.dispatcher.describe_service("desk", game.now_s)
        self.assertEqual((state.waiting, state.retries), (1, 0))
        self.assertAlmostEqual(state.retries_allowed, 8.0)
