"""Tests of the control task: configurations and lists of entry hosts."""

import unittest

import curio

from buckthorndeal.configuration import ConfigurationError
from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import (
    ClusterNotice,
    EntryHost,
    EntryHostChanges,
    EntryState,
)
from buckthorndeal.gateway._control_messages import NoticeReceived
from buckthorndeal.gateway._entry_hosts import EntryHostLists
from buckthorndeal.gateway._headers import remove_hop_by_hop
from buckthorndeal.gateway._versions import FETCH_RETRY_S
from tests.fleet_harness import GATEWAY, Fleet, create_configuration, run_fleet

COORDINATOR = "10.1.0.1"


class FetchTest(unittest.TestCase):
    """A configuration that cannot be had or read is not asked for without end."""

    def test_unreadable_configuration_is_fetched_once(self):
        """Guards against fetching the same bytes again at every notice."""
        decoded = []

        class BrokenCodec:
            def decode(self, content):
                decoded.append(content)
                raise ConfigurationError("routes", "unreadable")

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                gateway = await fleet.start_gateway(GATEWAY)
                gateway._control._configuration._codec = BrokenCodec()
                await fleet.put_configuration(COORDINATOR, create_configuration(1))
                while not decoded:
                    await curio.sleep(0.05)
                notice = NoticeReceived(COORDINATOR, ClusterNotice(9, 1, ()))
                for _ in range(20):
                    await gateway._control.mailbox.send(notice)
                await curio.sleep(0.5)
                self.assertEqual(len(decoded), 1)

        run_fleet(test)

    def test_failed_fetch_is_repeated_after_a_pause(self):
        """Guards against a loop that takes the whole processor."""
        calls = []

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                gateway = await fleet.start_gateway(GATEWAY)
                links = gateway._control._links
                while len(links.list_connected()) < 3:
                    await curio.sleep(0.05)

                async def fail(host, message, timeout_s):
                    calls.append(host)
                    raise PeerError("refused", Verdict.NOT_RUN)

                links.call = fail
                await fleet.put_configuration(COORDINATOR, create_configuration(1))
                while not calls:
                    await curio.sleep(0.05)
                await curio.sleep(1.0)
                # Each fetch asks the three coordinators once at most.
                self.assertLessEqual(len(calls), 3 * (2 + 1.5 / FETCH_RETRY_S))
                del links.call
                while gateway._context.routes is None:
                    await curio.sleep(0.05)

        run_fleet(test)


class EntryHostListsTest(unittest.TestCase):
    """Changes give the same lists as complete lists would."""

    def setUp(self):
        self.lists = EntryHostLists()

    def create(self, host, state=EntryState.READY):
        return EntryHost(host, "a", "a-1", f"{host}:1", state)

    def test_changes(self):
        first, second = self.create("h1"), self.create("h2")
        draining = self.create("h1", EntryState.DRAINING)
        self.lists.replace("c1", (second, first), 0.0)
        self.assertEqual(self.lists.list_all(), (first, second))
        self.lists.apply("c1", EntryHostChanges((draining,), ("h2",)))
        self.assertEqual(self.lists.list_all(), (draining,))
        self.lists.replace("c2", (first, second), 0.0)
        self.assertEqual(
            self.lists.list_by_coordinator(), ((draining,), (first, second))
        )

    def test_changes_of_a_lost_connection(self):
        """Guards against a list that holds only the last changes."""
        self.lists.replace("c1", (self.create("h1"),), 0.0)
        self.lists.drop("c1")
        self.lists.apply("c1", EntryHostChanges((self.create("h2"),), ()))
        self.assertEqual(self.lists.list_by_coordinator(), ())


class HeaderTest(unittest.TestCase):
    """Headers between entry hosts are dropped from the requests of callers."""

    def test_signed_headers_of_a_caller(self):
        sent = {
            "buckthorndeal-deadline-ms": "99999",
            "buckthorndeal-request-id": "forged",
            "buckthorndeal-hops": "h1",
            "accept": "*/*",
        }
        self.assertEqual(remove_hop_by_hop(sent), {"accept": "*/*"})


if __name__ == "__main__":
    unittest.main()
