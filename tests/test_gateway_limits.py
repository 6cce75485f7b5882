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


class IdleTimeoutTest(unittest.TestCase):
    """The idle timeout of the configuration holds for callers."""

    def test_connection_between_hosts_outlasts_the_idle_timeout_of_callers(self):
        """Guards against closing connections that other hosts keep for longer."""

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                body = json.loads(create_configuration())
                body["limits"] = {"idle_timeout_s": 0.3}
                host = next(iter(fleet.coordinators))
                await fleet.put_configuration(host, json.dumps(body).encode())
                gateway = await fleet.start_gateway(GATEWAY)
                while gateway._context.routes is None:
                    await curio.sleep(0.05)
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


if __name__ == "__main__":
    unittest.main()
