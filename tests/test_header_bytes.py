"""Tests of header values beyond ASCII, which HTTP permits and nobody interprets."""

import unittest

from tests.fleet_harness import (
    CALLER_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)

VALUES = (b"caf\xe9", "café".encode(), bytes(range(0x80, 0x100)))
NAME = "x-note"
REMOTE_GATEWAY = "10.2.0.9"


async def send_raw(fleet, path, value):
    """Return what a gateway sends to a caller with a header of raw bytes."""
    stream = await fleet.transport.connect(GATEWAY, CALLER_PORT)
    head = f"POST {path} HTTP/1.1\r\nhost: x.example\r\nconnection: close\r\n"
    head += f"{REQUEST_ID}: q\r\ncontent-length: 0\r\n"
    await stream.sendall(head.encode() + NAME.encode() + b": " + value + b"\r\n\r\n")
    received = b""
    while part := await stream.recv(65_536):
        received += part
    await stream.close()
    return received


class HeaderBytesTest(unittest.TestCase):
    """Header values reach the other side as they were sent."""

    def run_scenario(self, scenario, script, domain="a-1"):
        async def main():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(1, timeout_s=20.0)
                await fleet.put_configuration("10.1.0.1", content)
                await fleet.start_gateway(GATEWAY)
                await fleet.start_gateway(REMOTE_GATEWAY)
                endpoint = await fleet.start_endpoint("e0", domain, script)
                await fleet.wait_until_ready(GATEWAY)
                await scenario(fleet, endpoint)

        run_fleet(main)

    def check_caller(self, domain):
        """Check that an endpoint gets a caller's values, and runs each request once."""

        async def script(endpoint, request, responder):
            await endpoint.respond(request, responder)

        async def scenario(fleet, endpoint):
            for value in VALUES:
                received = await send_raw(fleet, "/non_idempotent/", value)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
            values = [each.headers[NAME] for each in endpoint.requests]
            self.assertEqual([each.encode("latin-1") for each in values], list(VALUES))

        self.run_scenario(scenario, script, domain)

    def test_caller(self):
        """Guards against status 500 for a proper request."""
        self.check_caller("a-1")

    def test_caller_of_another_region(self):
        self.check_caller("b-1")

    def check_endpoint(self, path, domain="a-1"):
        """Check that a caller gets the values of an endpoint."""
        values = iter(VALUES)

        async def script(endpoint, request, responder):
            headers = [(NAME, next(values))]
            if path != "/stream/":
                await endpoint.respond(request, responder, headers=headers)
                return
            headers.append((REQUEST_ID, request.headers[REQUEST_ID]))
            await responder.start(200, headers)
            await responder.send(create_stream_events(0, 1))
            await responder.finish()

        async def scenario(fleet, endpoint):
            for value in VALUES:
                received = await send_raw(fleet, path, b"plain")
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
                self.assertIn(NAME.encode() + b": " + value + b"\r\n", received)
            self.assertEqual(len(endpoint.requests), len(VALUES))

        self.run_scenario(scenario, script, domain)

    def test_endpoint(self):
        """Guards against status 500 after the request has run."""
        self.check_endpoint("/non_idempotent/")

    def test_endpoint_of_another_region(self):
        self.check_endpoint("/non_idempotent/", "b-1")

    def test_stream(self):
        self.check_endpoint("/stream/")


if __name__ == "__main__":
    unittest.main()
