"""Tests of the directory, authentication and metrics."""

import collections
import random
import unittest

from buckthorndeal.authentication import create_authenticator, hash_key
from buckthorndeal.directory import HostRecord, create_directory
from buckthorndeal.errors import RequestError
from buckthorndeal.metrics import create_metrics
from buckthorndeal.sections import AccountsSection, Workspace


class DirectoryTest(unittest.TestCase):
    """Order and selection of entry hosts."""

    def setUp(self):
        records = [
            HostRecord(f"e{number}", region, "127.0.0.1", number)
            for number, region in enumerate(("a", "a", "b", "c"), 1)
        ]
        self.directory = create_directory(records, random.Random(1))

    def test_own_region_comes_first_and_callers_are_spread(self):
        """Guards against sending all callers to one host of their region."""
        first_counts = collections.Counter()
        for _ in range(1000):
            answer = self.directory.list_hosts("a")
            self.assertEqual({record.region for record in answer.hosts[:2]}, {"a"})
            self.assertEqual(len(answer.hosts), 4)
            first_counts[answer.hosts[0].host] += 1
        self.assertGreater(min(first_counts["e1"], first_counts["e2"]), 400)

    def test_draining_lost_and_drained_hosts_are_excluded(self):
        """Guards against sending callers to a host that is about to stop."""
        self.directory.update(HostRecord("e1", "a", "127.0.0.1", 1, "draining"))
        self.directory.update(HostRecord("e3", "b", "127.0.0.1", 3, "lost"))
        names = [
            record.host for record in self.directory.list_hosts("a", ("e4",)).hosts
        ]
        self.assertEqual(names, ["e2"])


class AuthenticationTest(unittest.TestCase):
    """Authentication by bearer key."""

    def test_only_the_key_itself_is_accepted(self):
        """Guards against access without a key, with its hash or by another scheme."""
        workspace = Workspace(key_hashes=(hash_key("k"),), home_region="r")
        authenticator = create_authenticator(
            AccountsSection(workspaces={"w": workspace})
        )
        self.assertEqual(authenticator.authenticate("Bearer k").name, "w")
        for header in (
            None,
            "",
            "Bearer",
            "Bearer x",
            "Basic k",
            f"Bearer {hash_key('k')}",
        ):
            with self.assertRaises(RequestError) as caught:
                authenticator.authenticate(header)
            self.assertEqual(caught.exception.status, 401)


class MetricsTest(unittest.TestCase):
    """Metrics in the text format of Prometheus."""

    def test_values_and_quantiles_are_rendered(self):
        """Guards against text that Prometheus cannot read."""
        metrics = create_metrics()
        metrics.describe("requests_total", "counter", "Requests.")
        metrics.count("requests_total", service='a"b\n')
        metrics.observe("request_seconds", 0.5)
        lines = metrics.render().splitlines()
        self.assertIn("# HELP buckthorndeal_requests_total Requests.", lines)
        self.assertIn('buckthorndeal_requests_total{service="a\\"b\\n"} 1', lines)
        self.assertIn("buckthorndeal_request_seconds_count 1", lines)
        quantile = next(line for line in lines if 'quantile="0.95"' in line)
        self.assertAlmostEqual(float(quantile.split()[1]), 0.5, delta=0.01)

    def test_number_of_series_is_bounded(self):
        """Guards against an unbounded number of label values."""
        metrics = create_metrics()
        for number in range(3000):
            metrics.count("requests_total", service=str(number))
        self.assertLess(len(metrics.render().splitlines()), 2100)


if __name__ == "__main__":
    unittest.main()
