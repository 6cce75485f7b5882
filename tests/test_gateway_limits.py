"""Tests of the limits that a configuration sets for the connections to a gateway."""

import json
import unittest

import curio

from tests.fleet_harness import (
    CALLER_PORT,
    FORWARD_PORT,
    GATEWAY,
    Fleet,
    create_configuration,
    run_fleet,
)
from tests.raw_caller import read_answer

REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


async def start_with_limits(fleet, **limits):
    """Start a gateway whose configuration has the given limits."""
    await fleet.start_coordinators()
    body = json.loads(create_configuration())
    body["limits"] = limits
    host = next(iter(fleet.coordinators))
    await fleet.put_configuration(host, json.dumps(body).encode())
    gateway = await fleet.start_gateway(GATEWAY)
    while gateway._context.routes is None:
        await curio.sleep(0.05)


class ForwardLimitsTest(unittest.TestCase):
    """The limits of the configuration hold for callers, not between hosts."""

    def test_connection_between_hosts_outlasts_the_idle_timeout_of_callers(self):
        """Guards against closing connections that other hosts keep for longer."""

        async def test():
            async with Fleet() as fleet:
                await start_with_limits(fleet, idle_timeout_s=0.3)
                callers = await fleet.transport.connect(GATEWAY, CALLER_PORT)
                hosts = await fleet.transport.connect(GATEWAY, FORWARD_PORT)
                for stream in (callers, hosts):
                    await stream.sendall(REQUEST)
                    await read_answer(stream)
                await curio.sleep(0.6)
                self.assertEqual(await callers.recv(100), b"")
                await hosts.sendall(REQUEST)
                self.assertEqual((await read_answer(hosts))[0], 403)

        run_fleet(test)

    def test_head_to_which_a_host_has_added_its_own_fields_is_read(self):
        """Guards against refusing what the limit for callers allows (DENIED)."""
        size = 8_192
        head = REQUEST[:-2] + b"x-more: " + b"m" * size

        async def test():
            async with Fleet() as fleet:
                await start_with_limits(fleet, max_header_bytes=size)
                for port, status in ((CALLER_PORT, 431), (FORWARD_PORT, 403)):
                    stream = await fleet.transport.connect(GATEWAY, port)
                    await stream.sendall(head)
                    await curio.sleep(0.1)
                    if status == 403:
                        await stream.sendall(b"\r\n\r\n")
                    self.assertEqual((await read_answer(stream))[0], status)

        run_fleet(test)


if __name__ == "__main__":
    unittest.main()
