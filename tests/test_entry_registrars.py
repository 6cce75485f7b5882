"""Tests of the registrars that entry hosts assign to endpoints."""

import unittest.mock

import curio

from buckthorndeal.entry import _reports as _entry_reports
from buckthorndeal.registry import EXPIRY_S
from buckthorndeal.standin import StandinPlainService, StandinSettings, create_standin
from buckthorndeal.subsetting import choose_registrars
from tests.system import System, SystemCase

REGIONS = {"e1": "r1", "e2": "r1", "e3": "r1"}
POLL_INTERVAL_S = 0.02


def choose_hosts(hosts):
    return choose_registrars("d", {host: f"r1-{host[1:]}" for host in hosts})


def list_registrars(standin):
    return [f"e{port - 8000}" for _, port in standin._registrars]


async def start_standin(system, name="d"):
    settings = StandinSettings(
        name,
        "desk",
        "r1",
        "r1-1",
        tuple(("127.0.0.1", 8000 + int(host[1:])) for host in sorted(system.hosts)),
    )
    standin = create_standin(
        settings, StandinPlainService(), system.create_transport("d")
    )
    await standin.start()
    system.resources.append(standin)
    return standin


async def is_known(system):
    states = [await system.list_endpoints(host) for host in system.hosts]
    return all(each.get("d") == "ready" for each in states)


class EntryRegistrarsTest(SystemCase):
    """An endpoint changes its registrars with the hosts of its region."""

    def run_registrar_change(self, remove):
        """Remove a registrar, and return how long the endpoint takes to replace it.

        Also returns the longest time for which a remaining host lacked the endpoint.
        """

        async def scenario(system):
            standin = await start_standin(system)
            while not await is_known(system):
                await curio.sleep(POLL_INTERVAL_S)
            while list_registrars(standin) != choose_hosts(REGIONS):
                await curio.sleep(POLL_INTERVAL_S)
            first = list_registrars(standin)[0]
            await remove(system, first)
            remaining = choose_hosts(set(REGIONS) - {first})
            absent = dict.fromkeys(remaining, 0.0)
            longest_s = 0.0
            moved_s = None
            last_s = started_s = await curio.clock()
            while moved_s is None or last_s - moved_s < 2 * EXPIRY_S:
                await curio.sleep(POLL_INTERVAL_S)
                now_s = await curio.clock()
                for host in remaining:
                    state = (await system.list_endpoints(host)).get("d")
                    spent_s = absent[host] + now_s - last_s
                    absent[host] = 0.0 if state == "ready" else spent_s
                    longest_s = max(longest_s, absent[host])
                last_s = now_s
                if moved_s is None and list_registrars(standin) == remaining:
                    moved_s = now_s
            self.assertEqual(list_registrars(standin), remaining)
            return moved_s - started_s, longest_s

        return self.run_system(scenario, System(REGIONS))

    def test_endpoint_moves_when_its_registrar_dies(self):
        """Guards against an endpoint that is lost together with its registrar."""

        async def stop(system, host):
            await system.stop_host(host)

        _, longest_s = self.run_registrar_change(stop)
        self.assertLess(longest_s, EXPIRY_S)

    def test_endpoint_moves_when_its_registrar_is_cut_off(self):
        """Guards against heartbeats that are delayed by an unresponsive host."""

        async def partition_host(system, host):
            system.shape.partition({host}, {"d", *set(REGIONS) - {host}})

        _, longest_s = self.run_registrar_change(partition_host)
        self.assertLess(longest_s, EXPIRY_S)

    def test_endpoint_moves_within_a_heartbeat_when_its_registrar_drains(self):
        """Guards against heartbeats to a draining host until it has stopped."""

        async def drain(system, host):
            await curio.spawn(system.hosts[host].drain, daemon=True)

        moved_s, longest_s = self.run_registrar_change(drain)
        # One heartbeat interval, plus the time for the drain to reach other hosts.
        self.assertLess(moved_s, EXPIRY_S)
        self.assertLess(longest_s, EXPIRY_S)

    def test_hosts_agree_on_who_follows_an_endpoint(self):
        """Guards against endpoints that expire and reappear repeatedly.

        A registrar that knows only some of the region's endpoints would choose other
        followers than the other registrar.
        """
        regions = {f"e{number}": "r1" for number in range(1, 7)}
        names = [f"d{number}" for number in range(12)]

        async def list_ready(system):
            return [
                {name for name, state in endpoints.items() if state == "ready"}
                for endpoints in [
                    await system.list_endpoints(host) for host in system.hosts
                ]
            ]

        async def scenario(system):
            for name in names:
                await start_standin(system, name)
            # Wait until all hosts know the names and endpoints not followed expire.
            await curio.sleep(3 * EXPIRY_S)
            first = await list_ready(system)
            started_s = await curio.clock()
            while await curio.clock() - started_s < 2 * EXPIRY_S:
                self.assertEqual(await list_ready(system), first)
                await curio.sleep(POLL_INTERVAL_S)
            return first

        with unittest.mock.patch.object(_entry_reports, "FOLLOWED_ENDPOINTS", 4):
            ready = self.run_system(scenario, System(regions))
        self.assertEqual(set().union(*ready), set(names))
        for endpoints in ready:
            self.assertLess(len(endpoints), len(names))
