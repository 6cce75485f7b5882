"""Tests of the signed headers and the hop limits of forwarded requests."""

import dataclasses
import random
import unittest

from buckthorndeal.errors import AuthenticationError, RequestError, Verdict
from buckthorndeal.forwarding import (
    MAX_HOPS,
    ForwardedRequest,
    ReplayGuard,
    check_next_hop,
    sign_request,
    verify_request,
)

REQUEST = ForwardedRequest(
    "e1", ("e1", "e2"), True, 900, "id-1", 1_000_000, "w", "application/json", "key-1"
)
KEY = b"k" * 16


class ForwardingTest(unittest.TestCase):
    """MAC over headers and body, replay protection, and hops."""

    def sign(self):
        return dict(sign_request(REQUEST, "POST", "/x?y=1", b"body", KEY))

    def test_signed_request_is_read_back_with_any_key_in_use(self):
        """Guards against refusing valid requests during a key rotation."""
        keys = (b"new" * 8, KEY)
        read = verify_request(self.sign(), "POST", "/x?y=1", b"body", keys)
        self.assertEqual(read, REQUEST)

    def test_request_is_accepted_only_once_and_only_in_time(self):
        """Guards against replaying a captured request."""
        guard = ReplayGuard()
        for wall_s in (900.0, 1100.0):
            with self.assertRaises(AuthenticationError):
                guard.check(REQUEST, wall_s)
        guard.check(REQUEST, 990.0)
        for wall_s in (991.0, 1029.0):
            with self.assertRaises(AuthenticationError):
                guard.check(REQUEST, wall_s)

    def test_replay_guard_removes_requests_that_are_too_old_to_be_replayed(self):
        """Guards against memory that grows with every forwarded request."""
        guard = ReplayGuard()
        for number in range(100):
            request = dataclasses.replace(
                REQUEST, request_id=f"id-{number}", sent_ms=number * 10_000
            )
            guard.check(request, number * 10.0)
        self.assertLessEqual(len(guard._received_at_s), 7)

    def test_any_change_is_refused(self):
        """Guards against a header, target or body that the MAC does not cover."""
        for name in self.sign():
            for value in ("0", "", "é", self.sign()[name] + "0"):
                headers = {**self.sign(), name: value}
                with self.assertRaises(AuthenticationError, msg=name):
                    verify_request(headers, "POST", "/x?y=1", b"body", (KEY,))
        for changed in (
            ("GET", "/x?y=1", b"body"),
            ("POST", "/x?y=2", b"body"),
            ("POST", "/x?y=1", b"bodz"),
        ):
            with self.assertRaises(AuthenticationError, msg=changed):
                verify_request(self.sign(), *changed, (KEY,))
        with self.assertRaises(AuthenticationError):
            verify_request(self.sign(), "POST", "/x?y=1", b"body", (b"z" * 16,))

    def test_number_that_is_too_long_is_refused(self):
        """Guards against ValueError, which Python raises beyond 4,300 digits."""
        for name in ("deadline_ms", "sent_ms"):
            request = dataclasses.replace(REQUEST, **{name: "9" * 5_000})
            headers = dict(sign_request(request, "POST", "/", b"", KEY))
            with self.assertRaises(AuthenticationError):
                verify_request(headers, "POST", "/", b"", (KEY,))

    def test_no_choice_of_next_hosts_causes_a_loop(self):
        """Guards against loops and second changes of region, for any chosen hosts."""
        rng = random.Random(7)
        for _ in range(2000):
            hosts = [(f"e{n}", rng.choice("abc")) for n in range(rng.randint(2, 6))]
            host, region = rng.choice(hosts)
            hops, crossings = (), 0
            while len(hops) <= len(hosts) + 1:
                hops = (*hops, host)
                target, target_region = rng.choice(hosts)
                try:
                    check_next_hop(hops, crossings > 0, region, target, target_region)
                except RequestError as error:
                    self.assertIs(error.verdict, Verdict.NOT_RUN)
                    break
                crossings += target_region != region
                host, region = target, target_region
            self.assertEqual(len(set(hops)), len(hops))
            self.assertLessEqual(len(hops), MAX_HOPS)
            self.assertLessEqual(crossings, 1)


if __name__ == "__main__":
    unittest.main()
