"""Tests of responses that come while the request is still being sent."""

import collections
import unittest

from tests.early_response_play import BODY, CASES, UPLOAD_BYTES, EarlyResponsePlay


class EarlyResponseTest(unittest.TestCase):
    """An endpoint responds early, to a gateway as a process and through another."""

    @classmethod
    def setUpClass(cls):
        cls.play = EarlyResponsePlay("early", ())
        cls.play.play()

    def test_each_request_reaches_the_endpoint_once(self):
        """Guards against a play that does not reach the endpoint, and repetitions."""
        counts = collections.Counter(self.play.given)
        self.assertEqual(set(counts.values()), {1})
        self.assertEqual(len(counts), 2 * len(CASES) * len(UPLOAD_BYTES))

    def test_part_is_no_complete_response(self):
        """Guards against the end of a connection that is taken for that of a body."""
        for (case, host, size), result in self.play.results.items():
            if CASES[case][0] == "whole":
                continue
            with self.subTest(case=case, host=host, size=size):
                if result is not None:
                    self.assertEqual(result[0], 502)

    def test_complete_response_is_passed_on_or_not_at_all(self):
        """Guards against a part of an early response in place of all of it."""
        for (case, host, size), result in self.play.results.items():
            framing, status, _ = CASES[case]
            if framing != "whole" or result is None or result[0] == 502:
                continue
            with self.subTest(case=case, host=host, size=size):
                self.assertEqual(result, (int(status.split()[0]), BODY))

    def test_refusal_of_an_upload_is_passed_on(self):
        """Guards against a complete 413 that is lost as the upload goes on."""
        for host in (0, 1):
            for size in UPLOAD_BYTES:
                with self.subTest(host=host, size=size):
                    result = self.play.results["refused-drained", host, size]
                    self.assertEqual(result, (413, BODY))


if __name__ == "__main__":
    unittest.main()
