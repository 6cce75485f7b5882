"""Tests of responses with an invalid status, and of unusual but valid ones."""

import unittest

import curio

from tests.fleet_harness import (
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)
from tests.raw_endpoint import RawEndpoint, create_response, create_stream_head

REMOTE_GATEWAY = "10.2.0.9"
HOSTS = (GATEWAY, REMOTE_GATEWAY)
KINDS = ("idempotent", "non_idempotent", "stream")
INVALID_STATUSES = ("000", "099", "600", "999", "2000")
BODY = b"the whole body"
MAX_REQUESTS = 30


class InvalidResponseTest(unittest.TestCase):
    """An endpoint answers in a scripted way, directly and through another host."""

    def run_scenario(self, scenario, *scripts):
        async def main():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(1, home_regions=["a"])
                await fleet.put_configuration("10.1.0.1", content)
                for host in HOSTS:
                    await fleet.start_gateway(host)
                for number, script in enumerate(scripts):
                    endpoint = RawEndpoint(fleet, f"e{number}", "a-1", script)
                    fleet.endpoints[endpoint.name] = endpoint
                    await endpoint.start()
                for host in HOSTS:
                    await fleet.wait_until_ready(host)
                await curio.sleep(0.6)
                await scenario(fleet)

        run_fleet(main)

    def check_responses(self, create, kinds, expected):
        """Check status and body that callers get of `create` with a request's id."""

        async def script(endpoint, stream, request_id):
            await endpoint.send(stream, create(request_id))
            await stream.close()

        async def scenario(fleet):
            for host in HOSTS:
                for kind in kinds:
                    with self.subTest(host=host, kind=kind):
                        status, _, body = await fleet.send_request(host, f"/{kind}/")
                        self.assertEqual((status, body), expected(body))

        self.run_scenario(scenario, script)

    def test_invalid_status_is_no_response(self):
        """Guards against numbers that are no status being passed on to callers."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                self.check_responses(
                    lambda request_id, status=status: create_response(
                        request_id, BODY, f"{status} Odd"
                    ),
                    KINDS,
                    lambda body: (502, body),
                )

    def test_idempotent_request_is_tried_elsewhere(self):
        """Guards against callers that are told of the failure of one endpoint."""

        async def answer_badly(endpoint, stream, request_id):
            await endpoint.send(stream, create_response(request_id, BODY, "600 Odd"))

        async def answer(endpoint, stream, request_id):
            await endpoint.send(stream, create_response(request_id, BODY))

        async def scenario(fleet):
            bad = fleet.endpoints["e0"]
            for number in range(MAX_REQUESTS):
                status, _, body = await fleet.send_request(
                    GATEWAY, "/idempotent/", [(REQUEST_ID + "-x", str(number))]
                )
                self.assertEqual((status, body), (200, BODY))
                if bad.requests:
                    break
            self.assertTrue(bad.requests)

        self.run_scenario(scenario, answer_badly, answer)

    def test_valid_statuses_are_passed_on(self):
        """Guards against a check that refuses what is a response."""
        for status in (200, 299, 404, 499, 599):
            with self.subTest(status=status):
                self.check_responses(
                    lambda request_id, status=status: create_response(
                        request_id, BODY, f"{status} Fine"
                    ),
                    ("non_idempotent",),
                    lambda _, status=status: (status, BODY),
                )

    def test_informational_responses_without_end(self):
        """Guards against a wait for a response that never comes."""

        async def script(endpoint, stream, request_id):
            while True:
                await endpoint.send(stream, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 8)

        async def scenario(fleet):
            for host in HOSTS:
                status, _, _ = await fleet.send_request(host, "/non_idempotent/")
                self.assertEqual(status, 502)

        self.run_scenario(scenario, script)

    def test_informational_responses_before_a_response(self):
        """Guards against hints that are taken for the response."""
        self.check_responses(
            lambda request_id: (
                b"HTTP/1.1 103 Early Hints\r\n\r\n" * 8
                + create_response(request_id, BODY)
            ),
            ("idempotent", "non_idempotent"),
            lambda _: (200, BODY),
        )

    def test_endpoint_of_the_older_protocol(self):
        """Guards against HTTP/1.0 responses that are refused or cut."""
        for lines in ("", f"content-length: {len(BODY)}\r\n"):
            for version in ("1.0", "1.1"):
                with self.subTest(version=version, lines=lines):
                    head = f"HTTP/{version} 200 OK\r\n{lines}{REQUEST_ID}: "
                    self.check_responses(
                        lambda request_id, head=head: (
                            f"{head}{request_id}\r\n\r\n".encode() + BODY
                        ),
                        ("idempotent", "non_idempotent"),
                        lambda _: (200, BODY),
                    )

    def test_stream_of_an_endpoint_of_the_older_protocol(self):
        """Guards against streams that need chunks."""
        events = create_stream_events(0, 2)
        self.check_responses(
            lambda request_id: (
                create_stream_head(request_id)
                .replace(b"HTTP/1.1", b"HTTP/1.0")
                .replace(b"transfer-encoding: chunked\r\n", b"")
                + events
            ),
            ("stream",),
            lambda _: (200, events),
        )

    def test_short_body_of_the_older_protocol(self):
        """Guards against a part that is taken for the whole response."""

        async def script(endpoint, stream, request_id):
            head = f"HTTP/1.0 200 OK\r\n{REQUEST_ID}: {request_id}\r\n"
            await endpoint.send(
                stream, f"{head}content-length: 100\r\n\r\n".encode() + BODY
            )
            await stream.close()

        async def scenario(fleet):
            for host in HOSTS:
                status, _, _ = await fleet.send_request(host, "/non_idempotent/")
                self.assertEqual(status, 502)

        self.run_scenario(scenario, script)


if __name__ == "__main__":
    unittest.main()
