"""Tests of what a host logs and counts of cold endpoints."""

import unittest
from unittest import mock

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway import _endpoint_news
from buckthorndeal.gateway._endpoint_news import EndpointNews
from buckthorndeal.gateway._fleet_messages import HeartbeatsReceived
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.metrics import Metrics


def create_record(sequence, cold_s):
    """Return a heartbeat of an endpoint."""
    address = "10.1.9.1:80"
    fields = ("s", "a", "a-1", address, 8, EndpointState.READY)
    return EndpointRecord("e1", 1, sequence, *fields, cold_s=cold_s)


class EndpointNewsTest(unittest.TestCase):
    """An operator can tell when a host learned that an endpoint is cold."""

    def setUp(self):
        self.metrics = Metrics()
        self.news = EndpointNews(FleetView("h1"), self.metrics)

    def apply(self, sequence, cold_s, now_s):
        """Return the lines that a heartbeat gives."""
        with mock.patch.object(_endpoint_news, "log_event") as log_event:
            message = HeartbeatsReceived((create_record(sequence, cold_s),))
            self.news.apply(message, now_s)
        return [call.kwargs for call in log_event.call_args_list]

    def count(self, again):
        return self.metrics.get_value("cold_times", service="s", again=again)

    def test_second_cold_time_is_told_from_the_first(self):
        """Guards against cold times of which no line and no metric tells."""
        (first,) = self.apply(1, 3.0, 10.0)
        self.assertEqual((first["cold_ms"], first["known_ms"]), (3000, 0))
        (second,) = self.apply(2, 3.0, 12.0)
        self.assertEqual((second["cold_ms"], second["known_ms"]), (3000, 1000))
        self.assertEqual((self.count("false"), self.count("true")), (1, 1))

    def test_heartbeats_of_one_cold_time_give_one_line(self):
        """Guards against a line for each heartbeat of a cold endpoint."""
        self.apply(1, 3.0, 10.0)
        self.assertEqual(self.apply(2, 1.8, 11.3), [])
        self.assertEqual(self.apply(3, 0.0, 13.1), [])


if __name__ == "__main__":
    unittest.main()
