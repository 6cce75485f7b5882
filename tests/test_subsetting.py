"""Tests of the endpoints' subsets."""

import unittest
from collections import Counter

from buckthorndeal.subsetting import assign_subsets, choose_subset

HOSTS = [f"host-{number}" for number in range(330)]
ENDPOINTS = [f"endpoint-{number}" for number in range(600)]


def _count_changes(before, after):
    kept = [host for host in after if host in before]
    return sum(len(set(after[host]) - set(before[host])) for host in kept)


class SubsettingTest(unittest.TestCase):
    def test_target_size_is_balanced(self):
        """Guards against endpoints that few or many hosts send to."""
        subsets = assign_subsets(HOSTS, ENDPOINTS, 20)
        counts = Counter(name for names in subsets.values() for name in names)
        self.assertEqual({len(names) for names in subsets.values()}, {20})
        self.assertEqual(len(counts), 600)
        self.assertGreaterEqual(min(counts.values()), 8)
        self.assertLessEqual(max(counts.values()), 14)

    def test_coming_and_going_changes_little(self):
        """Guards against reconnecting everything when one name changes."""
        before = assign_subsets(HOSTS, ENDPOINTS, 20)
        for hosts, endpoints in (
            (HOSTS[1:], ENDPOINTS),
            (HOSTS, ENDPOINTS[1:]),
            ([*HOSTS, "new"], ENDPOINTS),
            (HOSTS, [*ENDPOINTS, "new"]),
        ):
            after = assign_subsets(hosts, endpoints, 20)
            self.assertLess(_count_changes(before, after), 0.01 * 330 * 20)

    def test_order_of_names_does_not_matter(self):
        """Guards against hosts that disagree on the assignment."""
        hosts, endpoints = HOSTS[:20], ENDPOINTS[:50]
        mine = choose_subset("host-3", hosts, endpoints, 8)
        theirs = choose_subset("host-3", hosts[::-1], endpoints[::-1], 8)
        self.assertEqual(mine, theirs)

    def test_small_region_uses_every_endpoint(self):
        """Guards against an endpoint without a host, and a host without endpoints."""
        subsets = assign_subsets(HOSTS[:2], ENDPOINTS[:9], 3)
        self.assertEqual(
            {n for names in subsets.values() for n in names}, {*ENDPOINTS[:9]}
        )
        self.assertEqual(
            assign_subsets(HOSTS[:1], ENDPOINTS[:3], 20)["host-0"], tuple(ENDPOINTS[:3])
        )


if __name__ == "__main__":
    unittest.main()
