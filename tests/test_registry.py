"""Tests of the endpoint registry."""

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


def create_announcement(incarnation=1):
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
    """Announcements, heartbeats, drains and expiry with given times."""

    def setUp(self):
        self.registry = create_registry()

    def list_names(self, now_s, model="m"):
        return [view.name for view in self.registry.list_candidates("s", model, now_s)]

    def test_only_endpoints_with_the_model_are_candidates(self):
        """Guards against sending a request to an endpoint that lacks its model."""
        self.registry.announce(create_announcement(), 0.0)
        self.assertEqual(self.list_names(0.0), ["a"])
        self.assertEqual(self.list_names(0.0, "other"), [])

    def test_leave_and_drain_take_precedence_over_late_announcements(self):
        """Guards against new requests to an endpoint that is draining or has left."""
        for notice, send in (
            (DrainNotice, self.registry.drain),
            (LeaveNotice, self.registry.leave),
        ):
            for known in (True, False):
                self.registry = create_registry()
                send = getattr(self.registry, send.__name__)
                if known:
                    self.registry.announce(create_announcement(), 0.0)
                self.assertIsInstance(
                    send(notice(name="a", incarnation=1), 1.0), Accepted
                )
                self.assertIsInstance(
                    self.registry.announce(create_announcement(), 1.1), Refused
                )
                self.assertEqual(self.list_names(1.1), [])
                self.assertIsInstance(
                    self.registry.announce(create_announcement(2), 1.2), Accepted
                )

    def test_silent_endpoint_expires_and_can_register_again(self):
        """Guards against using a silent endpoint, and against losing it permanently."""
        self.registry.announce(create_announcement(), 0.0)
        for checked_s in (1.0, 2.0, 3.0):
            self.assertEqual(self.registry.expire(checked_s), [])
        self.assertEqual(self.list_names(3.1), [])
        self.assertEqual(self.registry.expire(3.1), ["a"])
        heartbeat = Heartbeat(name="a", incarnation=1)
        self.assertIsInstance(self.registry.heartbeat(heartbeat, 4.0), Refused)
        self.assertIsInstance(
            self.registry.announce(create_announcement(), 4.0), Accepted
        )

    def test_endpoints_do_not_expire_because_the_host_was_stopped(self):
        """Guards against refused requests after the process was stopped for a time."""
        self.registry.announce(create_announcement(), 0.0)
        self.assertEqual(self.registry.expire(0.25), [])
        # Heartbeats that were sent in the meantime are not read yet.
        self.assertEqual(self.registry.expire(10.25), [])
        heartbeat = Heartbeat(name="a", incarnation=1)
        self.assertIsInstance(self.registry.heartbeat(heartbeat, 10.3), Accepted)

    def test_endpoints_do_not_expire_before_the_first_check(self):
        """Guards against refused requests after a process was stopped at its start."""
        self.registry.announce(create_announcement(), 0.0)
        self.assertEqual(self.registry.expire(10.0), [])
        self.assertEqual(self.registry.expire(11.0), [])
        self.assertEqual(self.registry.expire(12.0), [])
        self.assertEqual(self.registry.expire(12.1), ["a"])

    def test_endpoints_are_chosen_at_once_after_the_host_was_stopped(self):
        """Guards against requests refused before the next check for silence."""
        self.registry.announce(create_announcement(), 0.0)
        self.assertEqual(self.registry.expire(0.25), [])
        view = self.registry.list_endpoints()[0]
        found = self.registry.list_candidates(view.service, None, 10.25)
        self.assertEqual(found, [view])

    def test_silent_endpoint_expires_at_a_host_that_is_stopped_repeatedly(self):
        """Guards against an endpoint that is kept for ever by a slow host."""
        self.registry.announce(create_announcement(), 0.0)
        expired = [self.registry.expire(10.0 * check) for check in range(6)]
        self.assertEqual(expired.count(["a"]), 1)

    def test_old_incarnation_changes_nothing(self):
        """Guards against a delayed message of the process before a restart."""
        self.registry.announce(create_announcement(2), 0.0)
        heartbeat = Heartbeat(name="a", incarnation=1, running=9)
        leave = LeaveNotice(name="a", incarnation=1)
        self.assertIsInstance(self.registry.heartbeat(heartbeat, 0.1), Refused)
        self.assertIsInstance(self.registry.leave(leave, 0.1), Refused)
        self.assertIsInstance(
            self.registry.announce(create_announcement(1), 0.1), Refused
        )
        self.assertEqual(self.list_names(0.1), ["a"])

    def test_repeated_announcement_keeps_own_load(self):
        """Guards against a busy endpoint that seems idle after it announces again."""
        self.registry.announce(create_announcement(), 0.0)
        self.registry.record_start("a", 1)
        self.registry.announce(create_announcement(), 0.5)
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
