"""Tests of the learned speed of endpoints."""

import unittest

from buckthorndeal.gateway._pace import (
    MAX_SLOWDOWN,
    SCALE_LIFETIME_S,
    SLOWDOWN_LIFETIME_S,
    EndpointPace,
    ServicePace,
)

SLOT_LOAD = 5.0
INTERVAL_S = 0.2


def compute_seconds(tokens, inflight):
    """Return the time to the first response of a usual machine."""
    return 0.02 + tokens / 36_700 + 0.002 * inflight


class EndpointPaceTest(unittest.TestCase):
    """Speed of endpoints of one service, which this host observes in turn."""

    def setUp(self):
        self.now_s = 100.0
        self.service = ServicePace()
        self.endpoints = [EndpointPace(self.service) for _ in range(8)]

    def observe(self, endpoint, factor=1.0, slowdown=1.0, tokens=2890):
        seconds = compute_seconds(tokens, SLOT_LOAD) * factor * slowdown
        endpoint.observe_first(tokens, SLOT_LOAD, seconds, slowdown, self.now_s)

    def observe_all(self, rounds, factors=(1.0,), step_s=0.2):
        for number in range(rounds):
            self.now_s += step_s
            for index, endpoint in enumerate(self.endpoints):
                tokens = (628, 2890, 9190)[(number + index) % 3]
                self.observe(endpoint, factors[index % len(factors)], tokens=tokens)

    def predict(self, endpoint, tokens=2890):
        return endpoint.predict_first_s(tokens, SLOT_LOAD, self.now_s)

    def check_close(self, first, second, share=0.2):
        self.assertLess(abs(first - second), share * second, (first, second))

    def test_time_by_tokens_is_learned(self):
        """Guards against a prefill rate that stays at the initial estimate."""
        self.observe_all(40)
        for tokens in (628, 2890, 9190):
            predicted_s = self.predict(self.endpoints[0], tokens)
            self.check_close(predicted_s, compute_seconds(tokens, SLOT_LOAD))

    def test_prefill_time_stays_positive(self):
        """Guards against a division by zero where prompts seem to take no time."""
        for number in range(200):
            self.now_s += 0.1
            tokens = (100, 9000)[number % 2]
            seconds = 0.5 if tokens == 100 else 0.05
            endpoint = self.endpoints[0]
            endpoint.observe_first(tokens, SLOT_LOAD, seconds, 1.0, self.now_s)
        self.assertEqual(self.service.first_response.per_token_s, 0.0)
        self.assertGreater(self.endpoints[0].get_token_s(self.now_s), 0.0)

    def test_endpoint_without_observations_starts_from_its_service(self):
        self.observe_all(40, (2.0,))
        fresh = EndpointPace(self.service)
        expected_s = 2 * compute_seconds(2890, SLOT_LOAD)
        self.check_close(self.predict(fresh), expected_s)

    def test_speeds_are_told_apart(self):
        """Guards against endpoints that count as equal at 0.55 and 1.2 of the speed."""
        self.observe_all(30, (1 / 0.55, 1 / 1.2))
        slow, fast = self.endpoints[:2]
        ratio = self.predict(slow) / self.predict(fast)
        self.check_close(ratio, 1.2 / 0.55)

    def test_change_is_followed_within_two_seconds(self):
        """Guards against a slow endpoint that gets its old share for long."""
        self.observe_all(30)
        before_s = self.predict(self.endpoints[0])
        others = self.endpoints[1:]
        for _ in range(10):
            self.now_s += INTERVAL_S
            self.observe(self.endpoints[0], 3.0)
            for endpoint in others:
                self.observe(endpoint)
        self.check_close(self.predict(self.endpoints[0]), 3 * before_s, 0.25)
        self.check_close(self.predict(others[0]), before_s, 0.25)
        for _ in range(10):
            self.now_s += INTERVAL_S
            for endpoint in self.endpoints:
                self.observe(endpoint)
        self.check_close(self.predict(self.endpoints[0]), before_s, 0.3)

    def test_change_of_all_endpoints_is_followed(self):
        self.observe_all(30)
        before_s = self.predict(self.endpoints[0])
        self.observe_all(10, (2.5,))
        self.check_close(self.predict(self.endpoints[0]), 2.5 * before_s)

    def test_reported_slowdown_is_no_lasting_speed(self):
        """Guards against learning a phase that ends before the next request."""
        self.observe_all(30)
        before_s = self.predict(self.endpoints[0])
        for _ in range(5):
            self.observe(self.endpoints[0], slowdown=2.5)
        self.check_close(self.predict(self.endpoints[0]), before_s)

    def test_reported_slowdown_counts_while_it_is_fresh(self):
        endpoint = self.endpoints[0]
        self.observe_all(30)
        before_s = self.predict(endpoint)
        endpoint.record_slowdown(2.5, self.now_s)
        self.assertGreater(self.predict(endpoint), 1.8 * before_s)
        self.now_s += SLOWDOWN_LIFETIME_S
        self.check_close(self.predict(endpoint), before_s)

    def test_nonsense_slowdown_is_limited(self):
        """Guards against a report that makes every prediction infinite or zero."""
        endpoint = self.endpoints[0]
        for slowdown in (0.0, 1e9):
            endpoint.record_slowdown(slowdown, self.now_s)
            self.assertGreater(self.predict(endpoint), 0.0)
            self.assertLessEqual(endpoint.get_slowdown(self.now_s), MAX_SLOWDOWN)

    def test_constant_lie_cancels_out(self):
        """Guards against shunning an endpoint that reports a slowdown for ever."""
        self.observe_all(20)
        usual_s = self.predict(self.endpoints[1])
        liar = self.endpoints[0]
        for _ in range(20):
            self.now_s += INTERVAL_S
            liar.record_slowdown(4.0, self.now_s)
            seconds = compute_seconds(2890, SLOT_LOAD)
            liar.observe_first(2890, SLOT_LOAD, seconds, 4.0, self.now_s)
            for endpoint in self.endpoints[1:]:
                endpoint.record_slowdown(1.0, self.now_s)
                self.observe(endpoint)
        self.check_close(self.predict(liar), usual_s, 0.5)

    def test_single_stall_says_little(self):
        self.observe_all(30)
        before_s = self.predict(self.endpoints[0])
        self.observe(self.endpoints[0], 100.0)
        self.assertLess(self.predict(self.endpoints[0]), 2.5 * before_s)
        self.check_close(self.predict(self.endpoints[1]), before_s, 0.3)

    def test_slow_endpoint_is_forgiven_when_nothing_is_sent(self):
        """Guards against an endpoint that is never tried again."""
        self.observe_all(30, (4.0,) + (1.0,) * 7)
        slow = self.endpoints[0]
        self.assertGreater(slow.get_scale(self.now_s), 2.0)
        self.now_s += SCALE_LIFETIME_S
        self.assertEqual(slow.get_scale(self.now_s), 1.0)

    def test_vain_wait_counts_only_if_longer_than_predicted(self):
        """Guards against callers who leave early and make an endpoint look fast."""
        self.observe_all(30)
        endpoint = self.endpoints[0]
        before_s = self.predict(endpoint)
        endpoint.observe_late(2890, SLOT_LOAD, before_s / 4, self.now_s)
        self.assertEqual(self.predict(endpoint), before_s)
        endpoint.observe_late(2890, SLOT_LOAD, before_s * 8, self.now_s)
        self.assertGreater(self.predict(endpoint), 1.2 * before_s)

    def test_interval_between_events_is_learned(self):
        endpoint = self.endpoints[0]
        for _ in range(60):
            self.now_s += INTERVAL_S
            for inflight in (4, 40):
                seconds = 0.026 + 0.001 * inflight
                endpoint.observe_interval(inflight, seconds, 1.0, self.now_s)
        for inflight in (4, 40):
            interval_s = endpoint.predict_interval_s(inflight, self.now_s)
            self.check_close(interval_s, 0.026 + 0.001 * inflight)


class ServicePaceTest(unittest.TestCase):
    """Figures of a usual endpoint."""

    def test_events_of_a_route_are_learned(self):
        service = ServicePace()
        for _ in range(40):
            service.observe_events("short", 1000, 29)
        self.assertAlmostEqual(service.predict_events("short", 1000), 29, delta=2)
        self.assertAlmostEqual(service.predict_events("short", 500), 14.5, delta=1)

    def test_streams_without_a_bound_on_output_say_nothing(self):
        service = ServicePace()
        service.observe_events("short", 0, 29)
        self.assertEqual(service.predict_events("short", 0), 1.0)

    def test_mean_load_is_forgotten(self):
        """Guards against hosts that count on requests that ended long ago."""
        service = ServicePace()
        service.record_load(20, 100.0)
        self.assertEqual(service.get_mean_load(100.0), 20)
        self.assertEqual(service.get_mean_load(110.0), 0.0)

    def test_new_endpoint_fills_up(self):
        """Guards against new endpoints that seem as full as those known before."""
        service = ServicePace()
        pace = EndpointPace(service, known_s=100.0)
        for now_s, share in ((100.0, 0.0), (101.0, 0.5), (102.0, 1.0), (200.0, 1.0)):
            service.record_load(20, now_s)
            self.assertAlmostEqual(pace.get_mean_load(now_s), 20 * share)


if __name__ == "__main__":
    unittest.main()
