"""Tests of names in calls of a coordinator, which it stores and passes on."""

import unittest
from unittest import mock

from tests.fleet_harness import Fleet, create_configuration, run_fleet

LONG_NAME = "x" * 15_000
REPLICA_MODULE = "buckthorndeal.coordinator._replica"


class CoordinatorNamesTest(unittest.TestCase):
    """Names in calls of a coordinator are bounded before they are stored."""

    def test_names_of_any_length_are_refused(self):
        """Guards against names of the size of a head on every disk."""
        run_fleet(self.send_long_names)

    async def send_long_names(self):
        async with Fleet() as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration("10.1.0.1", create_configuration())
            calls = (
                ("POST", f"/v1/endpoints/{LONG_NAME}/leave", b'{"incarnation":1}'),
                ("PUT", f"/v1/evacuations/{LONG_NAME}", b""),
                ("DELETE", f"/v1/evacuations/{LONG_NAME}", b""),
            )
            for method, path, body in calls:
                status, _ = await fleet.call_api("10.1.0.1", method, path, body)
                self.assertEqual(status, 400, f"{method} {path[:30]}")

    def test_further_evacuations_are_refused(self):
        """Guards against a set of evacuated domains that grows without end."""
        run_fleet(self.evacuate_many)

    async def evacuate_many(self):
        calls = (
            ("PUT", "d0", 200),
            ("PUT", "d1", 200),
            ("PUT", "further", 503),
            ("PUT", "d1", 200),
            ("DELETE", "d1", 200),
            ("PUT", "further", 200),
        )
        async with Fleet(("10.1.0.1",)) as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration("10.1.0.1", create_configuration())
            with mock.patch(f"{REPLICA_MODULE}.MAX_EVACUATIONS", 2):
                for method, domain, expected in calls:
                    path = f"/v1/evacuations/{domain}"
                    status, _ = await fleet.call_api("10.1.0.1", method, path)
                    self.assertEqual(status, expected, f"{method} {domain}")


if __name__ == "__main__":
    unittest.main()
