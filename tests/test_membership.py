"""Tests of membership under an injected clock, and of its task over datagrams."""

import random
import time
import unittest

import curio

from buckthorndeal.bench._membership import MemberSimulation
from buckthorndeal.mailbox import create_mailbox
from buckthorndeal.membership import (
    MEMBERSHIP_MESSAGES,
    HostRecord,
    HostState,
    create_membership,
    create_membership_service,
)
from buckthorndeal.membership._table import HostTable, RumorQueue
from buckthorndeal.transport import create_memory_transport, create_socket_transport
from buckthorndeal.wire import MAX_DATAGRAM_BYTES, create_codec, create_datagram_codec

SEEDS = range(3)
LIMIT_S = 20.0
OUT_OF_USE_S = 3.0
PRESENT = ("alive", "draining")


def create_record(host, incarnation=1, state="alive", address="10.0.0.1:1"):
    addresses = {"membership": address}
    return HostRecord(host, "r", "d", addresses, incarnation, state)


class TableTest(unittest.TestCase):
    """Merging of records."""

    def merge(self, *rumors):
        table = HostTable(create_record("own"))
        for rumor in rumors:
            table.merge(rumor, 0.0)
        return table.records["a"]

    def test_merge_depends_on_incarnation_then_state(self):
        """Guards against late news that revives a dead or draining host."""
        cases = [
            ("alive", 1, "suspect", 1, "suspect"),
            ("suspect", 1, "alive", 1, "suspect"),
            ("suspect", 1, "alive", 2, "alive"),
            ("suspect", 1, "draining", 2, "draining"),
            ("dead", 1, "alive", 1, "dead"),
            ("dead", 1, "suspect", 1, "dead"),
            ("dead", 1, "alive", 2, "alive"),
            ("left", 1, "dead", 1, "left"),
            ("draining", 1, "alive", 1, "draining"),
            ("alive", 2, "dead", 1, "alive"),
        ]
        for first, old, second, new, expected in cases:
            record = self.merge(
                create_record("a", old, first), HostState("a", new, second)
            )
            self.assertEqual(record.state, expected, (first, old, second, new))

    def test_returned_host_replaces_its_addresses(self):
        """Guards against a restarted host reached at its former address."""
        record = self.merge(
            create_record("a", 1, "dead"),
            create_record("a", 2, address="10.0.0.2:2"),
        )
        self.assertEqual(record.addresses["membership"], "10.0.0.2:2")

    def test_rumors_fit_a_datagram_and_end(self):
        """Guards against datagrams over the limit and endless repetition."""
        queue = RumorQueue()
        for i in range(100):
            queue.add(create_record(f"host-{i}"))
        codec = create_datagram_codec(create_codec(MEMBERSHIP_MESSAGES), (b"k",), "h")
        sent = 0
        while rumors := queue.take(3):
            ping = MEMBERSHIP_MESSAGES[0](1 << 40, "t" * 63, rumors)
            self.assertLessEqual(len(codec.seal(ping, 1e9)), MAX_DATAGRAM_BYTES)
            sent += len(rumors)
        self.assertEqual(sent, 300)


class SimulationTest(unittest.TestCase):
    """Many members in memory."""

    def start(self, seed, size=12, regions=3, loss=0.0):
        simulation = MemberSimulation(size, seed, regions, loss)
        simulation.start_all()
        simulation.run(2.0)
        return simulation

    def test_crashed_and_leaving_hosts_go_out_of_use_in_time(self):
        """Guards against work given to hosts that are gone."""
        for seed in SEEDS:
            simulation = self.start(seed)
            simulation.crash("host-3")
            simulation.leave("host-4")
            simulation.run(OUT_OF_USE_S)
            for host in ("host-3", "host-4"):
                self.assertEqual(simulation.count_views(host, PRESENT), 0, seed)
            simulation.run(OUT_OF_USE_S)
            self.assertEqual(simulation.count_views("host-3", ("dead",)), 10, seed)
            self.assertEqual(simulation.count_views("host-4", ("left",)), 10, seed)

    def test_failed_domain_goes_out_of_use_in_time(self):
        """Guards against detection that finds the hosts of a rack one by one."""
        for seed in SEEDS:
            simulation = self.start(seed, size=30)
            lost = [
                r.host for r in simulation.records if r.failure_domain == "domain-0"
            ]
            for host in lost:
                simulation.crash(host)
            simulation.run(OUT_OF_USE_S)
            for host in lost:
                self.assertEqual(simulation.count_views(host, PRESENT), 0, seed)

    def test_loss_does_not_declare_hosts_dead(self):
        """Guards against failure detection that takes loss for a failure."""
        for seed in SEEDS:
            simulation = self.start(seed, loss=0.1)
            simulation.run(30.0)
            dead = [
                record
                for member in simulation.members.values()
                for record in member.list_records(("dead",))
            ]
            self.assertEqual(dead, [], seed)

    def test_empty_members_find_each_other_through_a_seed(self):
        """Guards against a host that never learns of some others."""
        for seed in SEEDS:
            simulation = MemberSimulation(20, seed, loss=0.05)
            address = simulation.records[0].addresses["membership"]
            for record in simulation.records:
                simulation.start(record, (address,))
            simulation.run(30.0)
            for member in simulation.members.values():
                self.assertEqual(len(member.list_records()), 20, seed)

    def test_halves_of_a_partition_find_each_other(self):
        """Guards against halves that hold each other dead for ever."""
        for seed in SEEDS:
            simulation = self.start(seed)
            simulation.is_cut = lambda a, b: is_first_region(a) != is_first_region(b)
            simulation.run(15.0)
            self.assertEqual(simulation.count_views("host-0", ("dead",)), 8, seed)
            simulation.is_cut = lambda a, b: False
            for _ in range(40):
                simulation.run(0.25)
                self.assert_own_half_in_use(simulation)
            for host, member in simulation.members.items():
                self.assertEqual(len(member.list_records()), 12, (seed, host))

    def assert_own_half_in_use(self, simulation):
        """Guards against a merge that spreads the death of the other half."""
        for host, member in simulation.members.items():
            for record in member.list_records(("suspect", "dead")):
                is_own = is_first_region(host) == is_first_region(record.host)
                self.assertFalse(is_own, (host, record))

    def test_returned_host_with_newer_incarnation_is_used_again(self):
        """Guards against a restarted host that stays dead."""
        for seed in SEEDS:
            simulation = self.start(seed)
            simulation.crash("host-5")
            simulation.run(10.0)
            record = simulation.records[5]
            address = simulation.records[1].addresses["membership"]
            # The incarnation does not rise when the wall clock was set back.
            simulation.start(record, (address,))
            simulation.run(5.0)
            self.assertEqual(simulation.count_views("host-5", ("alive",)), 11, seed)

    def test_draining_survives_a_suspicion(self):
        """Guards against a draining host that a refutation makes alive again."""
        simulation = self.start(1)
        member = simulation.members["host-2"]
        simulation._send("host-2", member.drain(simulation.now_s))
        simulation.run(3.0)
        simulation.is_cut = lambda a, b: "host-2" in (a, b)
        simulation.run(1.2)
        simulation.is_cut = lambda a, b: False
        simulation.run(20.0)
        self.assertEqual(simulation.count_views("host-2", ("draining",)), 11)

    def test_stalled_process_does_not_suspect_others(self):
        """Guards against suspicion of all others by a process that stood still."""
        own = create_record("own")
        other = create_record("other", address="10.0.0.2:1")
        member = create_membership(own, (), random.Random(1), 0.0)
        member.preload([other], 0.0)
        member.tick(0.5)
        member.tick(10.0)
        self.assertEqual(member.get_record("other").state, "alive")


def is_first_region(host):
    return int(host.rpartition("-")[2]) % 3 == 0


class ServiceCases:
    """The task that runs a member."""

    def test_services_find_each_other_and_notice_a_leave(self):
        """Guards against a task that does not send, receive or report."""

        async def main():
            transport = self.create_transport()
            changes = create_mailbox()
            ports = [await transport.open_datagrams("127.0.0.1", 0) for _ in "ab"]
            services = []
            for name, port, mailbox in zip("ab", ports, (changes, None), strict=True):
                record = create_record(name, address=f"127.0.0.1:{port.port}")
                seeds = (f"127.0.0.1:{ports[0].port}",)
                now_s = time.monotonic()
                member = create_membership(record, seeds, random.Random(1), now_s)
                service = create_membership_service(member, port, (b"k",), mailbox)
                await service.start()
                services.append(service)
            async with curio.timeout_after(LIMIT_S):
                while (await changes.receive()).message.host != "b":
                    pass
                self.assertEqual(len(services[0].list_records()), 2)
                await services[1].leave()
                while (await changes.receive()).message.state != "left":
                    pass
                await services[0].close()

        curio.run(main)


class SocketServiceTest(ServiceCases, unittest.TestCase):
    """Over UDP."""

    create_transport = staticmethod(create_socket_transport)


class MemoryServiceTest(ServiceCases, unittest.TestCase):
    """In memory."""

    create_transport = staticmethod(create_memory_transport)


if __name__ == "__main__":
    unittest.main()
