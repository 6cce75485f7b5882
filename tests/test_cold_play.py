"""Plays of endpoints that become cold, once and again, and of what the play notices."""

import unittest
from unittest import mock

from buckthorndeal.coordinator import _endpoint_heartbeats
from buckthorndeal.gateway._cold_doubt import ColdDoubt
from buckthorndeal.gateway._endpoint_news import EndpointNews
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._warm_ups import WarmUps
from tests.cold_endpoint import ColdCause
from tests.cold_play import ColdPlay
from tests.cold_report import MAX_PER_S


def play(gateways, seed):
    """Return what a play has seen."""
    cold_play = ColdPlay(gateways, seed)
    cold_play.play()
    return cold_play.report


def count_most(report, cause):
    """Return the most that an endpoint got in a second of cold times of a cause."""
    return len(report.most.get(cause, ()))


class ColdPlayTest(unittest.TestCase):
    """Cold endpoints get few requests, and some, and warm ones are used again."""

    def check(self, gateways, seeds):
        for seed in seeds:
            failures = play(gateways, seed).list_failures()
            self.assertEqual(failures, [], (gateways, seed))

    def check_but_evacuations(self, gateways, seeds):
        """Check all but the bound for endpoints that are cold when taken back."""
        for seed in seeds:
            report = play(gateways, seed)
            report.most.pop(ColdCause.TAKEN_BACK, None)
            self.assertEqual(report.list_failures(), [], (gateways, seed))

    def test_endpoints_at_4_gateways(self):
        """Guards against a flood of cold endpoints, and against warm ones held back."""
        self.check(4, (0, 1, 3, 4, 6, 9, 10, 13))

    def test_endpoints_at_24_gateways(self):
        self.check(24, (0, 1, 8))

    def test_endpoints_at_76_gateways(self):
        self.check(76, (0,))

    def test_cold_times_without_evacuations(self):
        """Guards against news of a start, or of a second cold time, that is lost."""
        self.check_but_evacuations(4, range(14, 35))
        self.check_but_evacuations(24, (2, 6, 7))


class TakenBackPlayTest(unittest.TestCase):
    """An endpoint that is cold when its domain is taken back gets few requests."""

    def check(self, gateways, seed):
        most = count_most(play(gateways, seed), ColdCause.TAKEN_BACK)
        self.assertLessEqual(most, MAX_PER_S, (gateways, seed))

    def test_gateways_that_connect_after_an_evacuation(self):
        """Guards against a gateway that never heard that there was an evacuation."""
        for seed in (2, 5, 8, 11, 12):
            self.check(4, seed)

    def test_old_record_in_what_a_gateway_is_sent_first(self):
        """Guards against a record of long ago that ends a doubt."""
        self.check(4, 39)

    def test_heartbeat_that_is_later_than_a_second(self):
        """Guards against a heartbeat from before the cold time that ends a doubt."""
        self.check(24, 17)


class PlayTest(unittest.TestCase):
    """The play notices faults of the product."""

    def test_times_compared_by_sign(self):
        """Guards against a play that misses news of a second cold time."""
        args = (_endpoint_heartbeats, "has_remaining_time")
        with mock.patch.object(*args, return_value=False):
            report = play(24, 1)
        self.assertGreater(count_most(report, ColdCause.AGAIN), 10 * MAX_PER_S)

    def test_no_doubt_after_an_evacuation(self):
        with mock.patch.object(FleetView, "_doubt"):
            report = play(24, 3)
        self.assertGreater(count_most(report, ColdCause.TAKEN_BACK), 10 * MAX_PER_S)

    def test_no_notice_of_a_stopped_process(self):
        with mock.patch.object(EndpointNews, "record_stop"):
            report = play(4, 4)
        self.assertGreater(count_most(report, ColdCause.AGAIN), 2 * MAX_PER_S)

    def test_endpoints_that_stay_cold_for_good(self):
        with mock.patch.object(ColdDoubt, "get_remaining_s", return_value=1.0):
            report = play(4, 1)
        self.assertGreater(len(report.held), 100)

    def test_cold_endpoints_that_get_nothing(self):
        with mock.patch.object(WarmUps, "may_send", return_value=False):
            report = play(4, 1)
        self.assertEqual(report.used, 0)
        self.assertGreater(report.usable, 0)

    def test_records_that_are_kept(self):
        with mock.patch.object(FleetView, "expire"):
            report = play(4, 1)
        self.assertGreater(report.records, report.max_records)


if __name__ == "__main__":
    unittest.main()
