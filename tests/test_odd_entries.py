"""Tests that odd reports of other writers end no task and hide no sound endpoint."""

import math
import pathlib
import sys
import unittest

import curio
import msgspec

from buckthorndeal.coordinator._fleet_messages import HeartbeatReceived
from buckthorndeal.coordinator._requests import StoreConfiguration
from buckthorndeal.errors import NotLeaderError, RequestError
from buckthorndeal.fleet import (
    ConfigurationReply,
    EndpointHeartbeats,
    EndpointRecord,
    EndpointState,
    ProposeConfiguration,
    RelayEndpoint,
)
from buckthorndeal.http_server import Request
from buckthorndeal.settings import Limits
from buckthorndeal.statemachine import PutConfiguration
from tests.fleet_harness import (
    DIRECTORY_PORT,
    GATEWAY,
    create_configuration,
    run_fleet,
)
from tests.odd_entries import (
    DEEP_NESTING,
    FLUSHED_S,
    OTHER_GATEWAY,
    create_default_report,
    create_report,
    list_endpoints,
    nest,
    report,
    respond,
    serve_watched,
)
from tests.odd_report_play import play_seed

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

import headnames

COORDINATOR = "10.1.0.1"
OTHER_COORDINATOR = "10.2.0.1"
BEYOND_64_BITS = 10**20
SOUND = EndpointRecord(
    "other", 1, 1, "s", "a", "a-1", "10.1.9.77:80", 4, EndpointState.READY
)


class OddEntriesTest(unittest.TestCase):
    """No task ends, and sound endpoints stay in use."""

    def run_serving(self, scenario):
        async def test():
            async with serve_watched() as (fleet, ended):
                await scenario(fleet)
                await curio.sleep(FLUSHED_S)
                self.assertEqual(ended, [])
                await self.check_sound_endpoints(fleet)

        run_fleet(test)

    async def check_sound_endpoints(self, fleet):
        """Check that a new endpoint is still learned of, and used."""
        await fleet.start_endpoint("new", "a-1", respond)
        await curio.sleep(FLUSHED_S)
        for host in (GATEWAY, OTHER_GATEWAY):
            self.assertEqual(list_endpoints(fleet, host), {"e0", "new"})
            status, _, _ = await fleet.send_request(host, "/idempotent/x")
            self.assertEqual(status, 200)


class OddReportTest(OddEntriesTest):
    """A report with a value that no endpoint can have is refused."""

    def check_refused(self, *contents):
        async def scenario(fleet):
            for content in contents:
                for host in fleet.coordinators:
                    self.assertEqual(await report(fleet, content, host=host), 400)

        self.run_serving(scenario)

    def test_number_beyond_64_bits(self):
        self.check_refused(
            *(
                create_report(**{name: BEYOND_64_BITS})
                for name in ("slots", "sequence", "born")
            )
        )

    def test_number_out_of_bounds(self):
        self.check_refused(
            create_report(slots=-1),
            create_report(sequence=-(2**63)),
            create_report(born=2**62),
            create_report(cold_remaining_ms=1e300),
            create_report(remaining_ms=1e300),
        )

    def test_address_that_no_endpoint_has(self):
        self.check_refused(
            *(
                create_report(address=address)
                for address in (
                    "10.1.9.77:70000",
                    "10.1.9.77:0",
                    "10.1.9.77:" + "9" * 5_000,
                    "host.example:80",
                    "0.0.0.0:80",
                    "10.1.9.77\0:80",
                    ":80",
                )
            )
        )

    def test_name_too_long_for_the_messages_between_hosts(self):
        long = "x" * 100_000
        self.check_refused(
            create_report(service=long),
            create_report(version=long),
            create_report(service=""),
            create_report(service="\0"),
        )

    def test_deep_nesting(self):
        self.check_refused(nest(create_report()))

    def test_leave(self):
        async def scenario(fleet):
            for content in (b'{"born":%d}' % BEYOND_64_BITS, nest(b'{"born":1 }')):
                status, _ = await fleet.call_api(
                    COORDINATOR, "POST", "/instances/e0/leave", content
                )
                self.assertEqual(status, 400)

        self.run_serving(scenario)

    def test_default_format(self):
        async def scenario(fleet):
            for content in (
                create_default_report(slots=BEYOND_64_BITS),
                create_default_report(address="10.1.9.77:70000"),
                nest(create_default_report()),
            ):
                status, _ = await fleet.call_api(
                    COORDINATOR, "POST", "/v1/endpoints/odd/heartbeat", content
                )
                self.assertEqual(status, 400)

        self.run_serving(scenario)


class UnencodableRecordTest(OddEntriesTest):
    """A record that cannot be encoded ends no task, should one pass the checks."""

    ODD = msgspec.structs.replace(SOUND, endpoint="odd", slots=BEYOND_64_BITS)

    def test_heartbeat(self):
        async def scenario(fleet):
            mailbox = fleet.coordinators[OTHER_COORDINATOR]._fleet.mailbox
            await mailbox.ask(HeartbeatReceived(self.ODD))
            # The next status of a gateway makes the coordinator send all it knows.
            await curio.sleep(2 * FLUSHED_S)

        self.run_serving(scenario)

    def test_drain(self):
        async def scenario(fleet):
            mailbox = fleet.coordinators[OTHER_COORDINATOR]._fleet.mailbox
            odd = msgspec.structs.replace(self.ODD, state=EndpointState.DRAINING)
            self.assertFalse(await mailbox.ask(HeartbeatReceived(odd)))

        self.run_serving(scenario)


class OddRecordOfPeerTest(OddEntriesTest):
    """A record that another coordinator should not have sent is left out."""

    ODD = msgspec.structs.replace(SOUND, endpoint="odd", address="10.1.9.76:70000")

    def test_list_for_gateways(self):
        async def scenario(fleet):
            coordinator = fleet.coordinators[COORDINATOR]
            message = EndpointHeartbeats((self.ODD,))
            for entry in coordinator._fleet._entries:
                await entry.channel.send(message)

        self.run_serving(scenario)

    def test_drain_that_is_relayed(self):
        async def scenario(fleet):
            coordinator = fleet.coordinators[COORDINATOR]
            odd = msgspec.structs.replace(self.ODD, state=EndpointState.DRAINING)
            for host in coordinator._links.list_connected():
                await coordinator._links.deliver(host, RelayEndpoint(odd))

        self.run_serving(scenario)


class OddConfigurationTest(OddEntriesTest):
    """A configuration that not every host can read or pass on is refused."""

    def check_refused(self, *contents):
        async def scenario(fleet):
            for content in contents:
                status, _ = await fleet.put_configuration(COORDINATOR, content)
                self.assertEqual(status, 400)
            content = create_configuration(2)
            status, _ = await fleet.put_configuration(COORDINATOR, content)
            self.assertEqual(status, 200)
            self.assertEqual(await fleet.get_configuration(COORDINATOR), content)

        self.run_serving(scenario)

    def test_version_beyond_64_bits(self):
        """Guards against the end of the leader, which cannot store it."""
        self.check_refused(
            create_configuration(2**64),
            create_configuration(2**63),
            create_configuration(-BEYOND_64_BITS),
        )

    def test_stored_content_that_cannot_be_read(self):
        """Guards against an end of all coordinators at each start."""

        async def scenario(fleet):
            reply = None
            while not isinstance(reply, ConfigurationReply):
                for daemon in fleet.coordinators.values():
                    odd = ProposeConfiguration(5, b"odd")
                    reply = await daemon.service.handle_call(odd)
                    if isinstance(reply, ConfigurationReply):
                        break
                await curio.sleep(0.05)
            await curio.sleep(FLUSHED_S)
            await fleet.stop_coordinator(COORDINATOR)
            await fleet.start_coordinator(COORDINATOR)
            content = create_configuration(6)
            status, _ = await fleet.put_configuration(COORDINATOR, content)
            self.assertEqual(status, 200)
            self.assertEqual(await fleet.get_configuration(COORDINATOR), content)

        self.run_serving(scenario)

    def test_command_that_the_log_cannot_hold(self):
        """Guards against the end of a leader that cannot encode it."""

        async def scenario(fleet):
            odd = PutConfiguration(version=BEYOND_64_BITS, content=b"")
            for daemon in fleet.coordinators.values():
                with self.assertRaises((RequestError, NotLeaderError)):
                    await daemon._replica.mailbox.ask(StoreConfiguration(odd))

        self.run_serving(scenario)

    def test_number_that_no_timer_or_choice_can_use(self):
        valid = create_configuration(9)
        self.check_refused(
            *(
                create_configuration(9, **{name: value})
                for name in ("timeout_s", "latency_objective_s", "max_pause_s")
                for value in (math.nan, math.inf, 1e300)
            ),
            *(
                create_configuration(9, services=[{"service": "s", "weight": weight}])
                for weight in (math.nan, math.inf, 1e300)
            ),
            valid.replace(
                b'"max_connections": 64', b'"max_connections": 1' + b"0" * 30
            ),
            valid[:-1] + b', "limits": {"idle_timeout_s": 1e300}}',
        )

    def test_deep_nesting(self):
        """Guards against a depth that only tasks with a short stack can read."""
        self.check_refused(
            *(nest(create_configuration(9), depth) for depth in (65, 900, DEEP_NESTING))
        )


class OddPathTest(OddEntriesTest):
    """Odd names in the paths of evacuations and directory queries end no task."""

    NAMES = ("%00", "%ed%a0%80", "%ff", "x" * 8_000)

    def test_evacuation(self):
        async def scenario(fleet):
            for name in self.NAMES:
                for change in ("start", "end"):
                    target = f"/evacuation/{name}/{change}"
                    status, _ = await fleet.call_api(COORDINATOR, "POST", target)
                    self.assertIn(status, (200, 400, 503))

        self.run_serving(scenario)

    def test_directory_query(self):
        async def scenario(fleet):
            pool = fleet.create_pool(COORDINATOR, DIRECTORY_PORT)
            for name in self.NAMES:
                target = f"/resolve?name={name}&region={name}&zone={name}"
                status, _, _ = await pool.fetch("GET", target, [], b"")
                is_too_large = len(target) > Limits().max_header_bytes
                self.assertIn(status, (431,) if is_too_large else (200, 400))

        self.run_serving(scenario)


class OddReportPlayTest(unittest.TestCase):
    """No odd report of many ends a task or hides a sound endpoint."""

    def test_two_seeds(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.assertIn(400, play_seed(seed))


class OddHeaderTest(unittest.TestCase):
    """A header with a number out of bounds fails alone, and says so truthfully."""

    LONG = ("9" * 400, "9" * 5_000)

    def setUp(self):
        self.dialect = headnames.HeadDialect()

    def test_response(self):
        for number in self.LONG:
            for name, value in (
                ("x-server-load", f"{number},1,8"),
                ("x-server-load", f"1,1,{number}"),
                ("retry-after", number),
                ("server-limit", number),
                ("server-brittle", number),
                ("server-brittle", "nan"),
            ):
                with self.subTest(name):
                    metadata = self.dialect.parse_response(503, {name: value})
                    self.assertIsNone(metadata.load)
                    self.assertIsNone(metadata.pause_s)
                    self.assertIsNone(metadata.rate_limit)
                    self.assertIsNone(metadata.rejection_limit)

    def test_request(self):
        for number in (*self.LONG, "-1", "1_0"):
            for name, value in (
                ("x-deadline-ms", number),
                ("last-event-id", number),
                ("x-token-count", f"{number},1"),
                ("x-token-count", f"1,{number}"),
                ("x-prompt-prefix", f"5c1e:{number}"),
            ):
                headers = {"x-model": "m", "x-token-count": "1,2", name: value}
                with self.subTest(name), self.assertRaises(RequestError):
                    self.dialect.parse_request(Request("POST", "/", headers))


if __name__ == "__main__":
    unittest.main()
