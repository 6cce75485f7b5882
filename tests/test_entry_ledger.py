"""Tests of bookings over four entry hosts with their ledgers and control hosts."""

import os

import curio

from tests.support import REQUEST_ID
from tests.system import System, SystemCase

MARKER = "marker-permit-4711"
ANSWER_BOUND_S = 2.0
LIMIT_S = 60.0
UNAVAILABLE_CODES = ("claims_unavailable", "no_claim_owner")


async def resend(system, host, key):
    """Book again as long as the ledger's view is changing, which is refused."""
    while True:
        status, body = await system.book(host, key)
        if body.get("error", {}).get("code") not in UNAVAILABLE_CODES:
            return status, body
        await curio.sleep(0.1)


class EntryLedgerTest(SystemCase):
    """At most once over lost hosts, restarts and cut links."""

    def setUp(self):
        self.executed = []

    async def execute(self, request, responder):
        await curio.sleep(0.02)
        self.executed.append(request.body)
        headers = [(REQUEST_ID, request.headers[REQUEST_ID])]
        await responder.respond(201, b'{"number": 1}', headers=headers)

    def run_booking(self, scenario, **settings):
        async def prepare(system):
            for host, name in (("e1", "a"), ("e3", "b")):
                await system.announce(host, name, self.execute)
                region = system.regions[host]
                await curio.spawn(system.keep_alive, region, name, daemon=True)
            await system.wait_for_ledgers()
            return await scenario(system)

        return self.run_system(prepare, System(control=True, **settings), LIMIT_S)

    def test_simultaneous_sends_over_all_hosts_execute_once(self):
        """Guards against a doubled deposit when a caller resends everywhere."""

        async def scenario(system):
            tasks = [
                await curio.spawn(system.book, f"e{number % 4 + 1}", "k")
                for number in range(20)
            ]
            return [await task.join() for task in tasks]

        answers = self.run_booking(scenario)
        self.assertEqual(answers, [(201, {"number": 1})] * 20)
        self.assertEqual(len(self.executed), 1)

    def test_host_killed_between_claim_and_dispatch_answers_may_have_run(self):
        """Guards against a second dispatch after a restart, and a lost answer."""

        async def scenario(system):
            answered = await system.book("e1", "answered")
            primary = system.hosts["e1"].claims.primary
            system.shape.partition({"e1", "e2"}, {"far"})
            for host in ("e1", "e2"):
                await system.tell(host, "leave", name="a")
            await system.announce(primary, "c", self.execute, place="far")
            await curio.spawn(system.keep_alive, "r1", "c", daemon=True)
            task = await curio.spawn(system.book, primary, "k", daemon=True)
            claims = system.hosts[primary].claims
            while claims.describe()["entries"] < 2 or claims.describe()["pending"]:
                await curio.sleep(0.01)
            await system.stop_host(primary)
            await task.cancel()
            await system.start_host(primary)
            system.shape.heal_all()
            await system.wait_for_ledgers()
            return answered, [
                await resend(system, host, key)
                for key in ("answered", "k")
                for host in ("e1", "e2", "e3")
            ]

        answered, answers = self.run_booking(scenario)
        self.assertEqual(answers[:3], [answered] * 3)
        for _, body in answers[3:]:
            self.assertEqual(body["error"]["verdict"], "may_have_run")
        self.assertEqual(len(self.executed), 1)

    def test_backup_takes_over_and_repeats_the_answers(self):
        """Guards against a confirmation lost with its host."""

        async def scenario(system):
            first = await system.book("e3", "k")
            primary = system.hosts["e1"].claims.primary
            backup = "e2" if primary == "e1" else "e1"
            await system.stop_host(primary)
            early = [await system.book(backup, key) for key in ("k", "new")]
            while system.hosts[backup].claims.primary != backup:
                await curio.sleep(0.01)
            await system.wait_for_hosts()
            later = [await system.book(host, "k") for host in (backup, "e3")]
            return first, early, later, await system.book("e4", "other")

        first, early, later, other = self.run_booking(scenario)
        for _, body in early:
            self.assertIn("verdict", body["error"])
        self.assertEqual(later, [first] * 2)
        self.assertEqual(other[0], 201)
        self.assertEqual(len(self.executed), 2)

    def test_cut_regions_go_on_serving_their_own_callers(self):
        """Guards against a region that stops when it is isolated."""

        async def scenario(system):
            west, east = {"e1", "e2", "c1"}, {"e3", "e4", "c2", "c3"}
            system.shape.partition(west, east)
            await curio.sleep(4.0)
            started_s = await curio.clock()
            answers = [
                await system.book(host, f"{workspace}-{host}", workspace)
                for workspace, host in (("free", "e1"), ("bound", "e2"))
            ]
            answers.append(await system.book("e3", "far", "east"))
            refused = await system.book("e3", "refused", "free")
            return answers, refused, await curio.clock() - started_s

        answers, refused, took_s = self.run_booking(scenario)
        self.assertEqual([status for status, _ in answers], [201] * 3)
        self.assertEqual(refused[1]["error"]["verdict"], "not_run")
        self.assertLess(took_s, ANSWER_BOUND_S)

    def test_bound_data_stays_in_its_region(self):
        """Guards against permit data in forwarded bytes, copies and log lines."""
        body = b'{"permit": "%s"}' % MARKER.encode()

        async def scenario(system):
            answers = [
                await system.book(host, f"key-{MARKER}-{host}", "bound", body)
                for host in sorted(system.hosts)
            ]
            # A forwarded booking of a workspace that is not bound, for contrast.
            answers.append(await system.book("e3", "contrast", body=b"contrast-1"))
            await curio.sleep(1.0)
            files = []
            for host in ("e3", "e4", "c2", "c3"):
                for directory, _, names in os.walk(f"{system.directory.name}/{host}"):
                    for name in names:
                        with open(os.path.join(directory, name), "rb") as file:
                            files.append(file.read())
            regions = system.regions | {"c1": "c", "c2": "c", "c3": "c"}
            crossed = [
                data
                for (source, target), data in system.sent
                if regions.get(source) != regions.get(target)
            ]
            return answers, b"".join(files), b"".join(crossed)

        answers, files, crossed = self.run_booking(scenario)
        statuses = [status for status, _ in answers]
        self.assertEqual(statuses, [201, 201, 421, 421, 201])
        self.assertIn(b"contrast-1", crossed)
        for text in (files, crossed, self.log_text.encode()):
            self.assertNotIn(MARKER.encode(), text)
