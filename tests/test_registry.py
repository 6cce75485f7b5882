"""Tests of the endpoint table."""

import unittest

from buckthorndeal.registry import (
    Accepted,
    Announcement,
    DrainNotice,
    Heartbeat,
    LeaveNotice,
    Refused,
    create_registry,
)


def announce(incarnation=1):
    return Announcement(
        name="a",
        incarnation=incarnation,
        service="s",
        region="r",
        failure_domain="r-1",
        address="127.0.0.1",
        port=1,
        models=("m",),
    )


class RegistryTest(unittest.TestCase):
    """Announcements, heartbeats, drains and expiry on an injected clock."""

    def setUp(self):
        self.registry = create_registry()

    def list_names(self, now_s, model="m"):
        return [view.name for view in self.registry.list_candidates("s", model, now_s)]

    def test_only_endpoints_with_the_model_are_candidates(self):
        """Guards against a request sent to an endpoint without its model."""
        self.registry.announce(announce(), 0.0)
        self.assertEqual(self.list_names(0.0), ["a"])
        self.assertEqual(self.list_names(0.0, "other"), [])

    def test_leave_and_drain_win_over_late_announcements(self):
        """Guards against new work for an endpoint that is leaving."""
        for notice, send in (
            (DrainNotice, self.registry.drain),
            (LeaveNotice, self.registry.leave),
        ):
            for known in (True, False):
                self.registry = create_registry()
                send = getattr(self.registry, send.__name__)
                if known:
                    self.registry.announce(announce(), 0.0)
                self.assertIsInstance(
                    send(notice(name="a", incarnation=1), 1.0), Accepted
                )
                self.assertIsInstance(self.registry.announce(announce(), 1.1), Refused)
                self.assertEqual(self.list_names(1.1), [])
                self.assertIsInstance(
                    self.registry.announce(announce(2), 1.2), Accepted
                )

    def test_silent_endpoint_expires_and_comes_back(self):
        """Guards against work for a silent endpoint, and against losing it for good."""
        self.registry.announce(announce(), 0.0)
        self.assertEqual(self.registry.expire(3.0), [])
        self.assertEqual(self.list_names(3.1), [])
        self.assertEqual(self.registry.expire(3.1), ["a"])
        beat = Heartbeat(name="a", incarnation=1)
        self.assertIsInstance(self.registry.heartbeat(beat, 4.0), Refused)
        self.assertIsInstance(self.registry.announce(announce(), 4.0), Accepted)

    def test_old_incarnation_changes_nothing(self):
        """Guards against a late message of the process before a restart."""
        self.registry.announce(announce(2), 0.0)
        beat = Heartbeat(name="a", incarnation=1, running=9)
        leave = LeaveNotice(name="a", incarnation=1)
        self.assertIsInstance(self.registry.heartbeat(beat, 0.1), Refused)
        self.assertIsInstance(self.registry.leave(leave, 0.1), Refused)
        self.assertIsInstance(self.registry.announce(announce(1), 0.1), Refused)
        self.assertEqual(self.list_names(0.1), ["a"])

    def test_repeated_announcement_keeps_own_load(self):
        """Guards against a busy endpoint that looks idle after it announces again."""
        self.registry.announce(announce(), 0.0)
        self.registry.record_start("a", 1)
        self.registry.announce(announce(), 0.5)
        self.assertEqual(
            self.registry.list_candidates("s", "m", 0.5)[0].own_inflight, 1
        )
        self.registry.record_end("a", 1)
        self.registry.record_end("a", 1)
        self.assertEqual(
            self.registry.list_candidates("s", "m", 0.5)[0].own_inflight, 0
        )


if __name__ == "__main__":
    unittest.main()
