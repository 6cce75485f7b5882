"""Tests of endpoint subsets and of the choice of registrars."""

import unittest
from collections import Counter

from buckthorndeal.subsetting import (
    assign_subsets,
    choose_registrars,
    choose_subset,
)

HOSTS = [f"host-{number}" for number in range(330)]
ENDPOINTS = [f"endpoint-{number}" for number in range(600)]


def _count_changes(before, after):
    kept = [host for host in after if host in before]
    return sum(len(set(after[host]) - set(before[host])) for host in kept)


class SubsettingTest(unittest.TestCase):
    def test_target_size_is_balanced(self):
        """Guards against endpoints that too few or too many hosts send to."""
        subsets = assign_subsets(HOSTS, ENDPOINTS, 20)
        counts = Counter(name for names in subsets.values() for name in names)
        self.assertEqual({len(names) for names in subsets.values()}, {20})
        self.assertEqual(len(counts), 600)
        self.assertGreaterEqual(min(counts.values()), 8)
        self.assertLessEqual(max(counts.values()), 14)

    def test_adding_or_removing_a_name_changes_few_pairs(self):
        """Guards against replacing most connections when one name changes."""
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
        """Guards against hosts that compute different assignments."""
        hosts, endpoints = HOSTS[:20], ENDPOINTS[:50]
        forward = choose_subset("host-3", hosts, endpoints, 8)
        reverse = choose_subset("host-3", hosts[::-1], endpoints[::-1], 8)
        self.assertEqual(forward, reverse)

    def test_small_region_uses_every_endpoint(self):
        """Guards against an endpoint without a host, and a host without endpoints."""
        subsets = assign_subsets(HOSTS[:2], ENDPOINTS[:9], 3)
        self.assertEqual(
            {n for names in subsets.values() for n in names}, {*ENDPOINTS[:9]}
        )
        self.assertEqual(
            assign_subsets(HOSTS[:1], ENDPOINTS[:3], 20)["host-0"], tuple(ENDPOINTS[:3])
        )


class RegistrarsTest(unittest.TestCase):
    """Choice of the hosts that the endpoints of a region report to."""

    def setUp(self):
        self.domains = {host: f"d{number % 3}" for number, host in enumerate(HOSTS)}
        self.region = {host: self.domains[host] for host in HOSTS[:66]}

    def choose_all(self, domains, endpoints):
        return {name: choose_registrars(name, domains) for name in endpoints}

    def count_loads(self, chosen):
        return Counter(host for hosts in chosen.values() for host in hosts)

    def test_load_is_even_at_target_size(self):
        """Guards against concentrating the heartbeats on a few hosts."""
        counts = self.count_loads(self.choose_all(self.region, ENDPOINTS[:120]))
        # The mean is 3.6; with uniformly random choices, a host has up to 11.
        self.assertLess(max(counts.values()), 12)
        many_endpoints = [f"endpoint-{number}" for number in range(120 * 66)]
        counts = self.count_loads(self.choose_all(self.region, many_endpoints))
        self.assertEqual(len(counts), 66)
        self.assertGreater(min(counts.values()), 0.75 * 240)
        self.assertLess(max(counts.values()), 1.25 * 240)

    def test_adding_or_removing_a_host_moves_only_its_endpoints(self):
        """Guards against moving all endpoints when one host restarts."""
        before = self.choose_all(self.region, ENDPOINTS)
        for removed in HOSTS[:66]:
            remaining = {
                host: domain for host, domain in self.region.items() if host != removed
            }
            after = self.choose_all(remaining, ENDPOINTS)
            for name in ENDPOINTS:
                kept = [host for host in before[name] if host != removed]
                self.assertLessEqual(set(kept), set(after[name]))
                if removed not in before[name]:
                    self.assertEqual(after[name], before[name])

    def test_registrars_are_in_different_failure_domains_where_possible(self):
        """Guards against losing both registrars of an endpoint with one domain."""
        for hosts in self.choose_all(self.region, ENDPOINTS).values():
            self.assertEqual(len({self.region[host] for host in hosts}), 2)
        one_domain = dict.fromkeys(HOSTS[:5], "d")
        for hosts in self.choose_all(one_domain, ENDPOINTS).values():
            self.assertEqual(len(set(hosts)), 2)
        self.assertEqual(choose_registrars("endpoint-1", {"host-1": "d"}), ["host-1"])
        self.assertEqual(choose_registrars("endpoint-1", {}), [])


if __name__ == "__main__":
    unittest.main()
