"""Ends of endpoints for tests of the quarantine on one entry host."""

import unittest

from buckthorndeal.quarantine import (
    EndpointEnd,
    Suspect,
    create_quarantine,
    is_request_key,
)

HOSTS = ("h1", "h2", "h3")


def is_held(quarantine, keys, open_suspects, hosts, now_s):
    key = quarantine.find_under_review(keys, open_suspects, hosts, now_s)
    return key is not None


class EvidenceTestCase(unittest.TestCase):
    """Reports ends of endpoints to the quarantine of ``h1``."""

    def setUp(self):
        self.quarantine = create_quarantine("h1")
        self.now_s = 100.0

    def end_endpoint(self, number, *keys, request="", after_s=1.0):
        self.now_s += after_s
        suspects = tuple(
            Suspect(key, depth, request if is_request_key(key) else "")
            for depth, key in enumerate(keys)
        )
        end = EndpointEnd(f"e{number}", 1, suspects)
        self.quarantine.record_end(end, self.now_s)

    def review(self, *keys):
        self.now_s += 1.0
        self.quarantine.update(self.now_s)
        return self.quarantine.find_quarantined(keys)
