"""Tests of responses of earlier requests that arrive in place of the next response."""

import unittest

import curio
import msgspec

from buckthorndeal.errors import ConnectionBrokenError
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.transport import create_memory_transport
from tests.fleet_harness import (
    CALLER_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)
from tests.raw_endpoint import (
    RawEndpoint,
    create_chunk,
    create_response,
    create_stream_head,
)

NOT_RUN = ("buckthorndeal-verdict", "not_run")
REFUSED = "503 Service Unavailable"
# Gateway of another region.
REMOTE_GATEWAY = "10.2.0.9"
# Some endpoint gets a second request among them.
REQUESTS = 8


def create_refusal(request_id, status=REFUSED, headers=(NOT_RUN,), body=b"full"):
    """Return a response that says that a request was not run."""
    return create_response(request_id, body, status, headers)


def create_answer(request_id):
    """Return a successful response."""
    return create_response(request_id, b"own")


def create_event_stream(request_id):
    """Return a complete stream of six events."""
    events = create_chunk(create_stream_events(0, 5))
    return create_stream_head(request_id) + events + b"0\r\n\r\n"


OWN_BODIES = {create_answer: b"own", create_event_stream: create_stream_events(0, 5)}


class StaleScript:
    """Script that once sends `extra` in place of the second response of an endpoint.

    `extra` is called with the id of the first request. The response to the second one,
    `own`, follows, or the end of the connection if that is None. All others are
    answered with `answer`.
    """

    def __init__(self, extra, own=create_answer, answer=create_answer):
        self.extra = extra
        self.own = own
        self.answer = answer
        # The connections of the request concerned and of those behind it.
        self.connections = []

    async def __call__(self, endpoint, stream, request_id):
        if self.connections or len(endpoint.requests) != 2:
            if self.connections:
                self.connections.append(stream)
            await endpoint.send(stream, self.answer(request_id))
            return
        self.connections.append(stream)
        await endpoint.send(stream, self.extra(endpoint.requests[0]))
        await curio.sleep(0.05)
        if self.own is None:
            await stream.close()
        else:
            await endpoint.send(stream, self.own(request_id))


class StaleResponseCase(unittest.TestCase):
    """Runs requests at raw endpoints, one after the other."""

    def play(self, script, endpoints=2, path="/non_idempotent/", **options):
        """Return the responses by request id, and how often each request arrived."""
        count = options.pop("count", REQUESTS)
        domain = options.pop("domain", "a-1")
        responses, arrivals = {}, []

        async def scenario(fleet):
            pool = fleet.create_pool(GATEWAY, CALLER_PORT)
            for number in range(count):
                headers = [("host", "x.example"), (REQUEST_ID, f"r{number}")]
                responses[f"r{number}"] = await pool.fetch("POST", path, headers, b"x")
            for endpoint in fleet.endpoints.values():
                arrivals.extend(endpoint.requests)

        async def main():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(1, **options)
                await fleet.put_configuration("10.1.0.1", content)
                await fleet.start_gateway(GATEWAY)
                await fleet.start_gateway(REMOTE_GATEWAY)
                for number in range(endpoints):
                    endpoint = RawEndpoint(fleet, f"e{number}", domain, script)
                    fleet.endpoints[endpoint.name] = endpoint
                    await endpoint.start()
                await fleet.wait_until_ready(GATEWAY)
                await curio.sleep(0.6)
                await scenario(fleet)

        run_fleet(main)
        return responses, {name: arrivals.count(name) for name in responses}

    def check_verdict(self, response, status, verdict):
        self.assertEqual(response[0], status)
        error = msgspec.json.decode(response[2])["error"]
        self.assertEqual(error["verdict"], verdict)


class StaleRefusalTest(StaleResponseCase):
    """A refusal of an earlier request says nothing about the next one."""

    def check_not_believed(self, extra, answer=create_answer, **options):
        """Check that each request arrives once, and one ends as it may have run."""
        script = StaleScript(extra, None, answer)
        responses, arrivals = self.play(script, **options)
        self.assertEqual(set(arrivals.values()), {1})
        failed = [each for each in responses.values() if each[0] != 200]
        self.assertEqual(len(failed), 1)
        self.check_verdict(failed[0], 502, "may_have_run")

    def test_request_does_not_run_twice(self):
        self.check_not_believed(create_refusal)

    def test_request_that_runs_is_not_refused(self):
        self.check_not_believed(create_refusal, endpoints=1)

    def test_misdirected(self):
        self.check_not_believed(
            lambda name: create_refusal(name, "421 Misdirected Request", ())
        )

    def test_overload_with_pause(self):
        """Guards against a pause of the endpoint too."""
        self.check_not_believed(
            lambda name: create_refusal(name, headers=[NOT_RUN, ("retry-after", "60")]),
            endpoints=1,
        )

    def test_stream(self):
        self.check_not_believed(
            create_refusal, create_event_stream, path="/stream/", max_attempts=1
        )

    def test_endpoint_of_another_region(self):
        self.check_not_believed(create_refusal, domain="b-1")

    def test_own_refusal_is_believed(self):
        responses, _ = self.play(
            StaleScript(lambda name: b"", create_refusal), endpoints=1, count=2
        )
        self.check_verdict(responses["r1"], 503, "not_run")

    def test_idempotent_request_is_repeated_elsewhere(self):
        script = StaleScript(create_refusal, None)
        responses, _ = self.play(script, path="/idempotent/")
        for name, (status, headers, _) in responses.items():
            self.assertEqual((status, headers[REQUEST_ID]), (200, name))

    def test_connection_is_not_used_again(self):
        script = StaleScript(create_refusal)
        self.play(script, endpoints=1, count=3)
        stale, following = script.connections
        self.assertIsNot(stale, following)


class OwnResponseTest(StaleResponseCase):
    """A response behind a stale one reaches its caller, if it may not run again."""

    def check_delivered(self, extra, answer=create_answer, **options):
        """Check that each request runs once and gets its own response."""
        script = StaleScript(extra, answer, answer)
        responses, arrivals = self.play(script, **options)
        self.assertEqual(set(arrivals.values()), {1})
        self.assertTrue(script.connections)
        for name, (status, headers, body) in responses.items():
            self.assertEqual((status, headers[REQUEST_ID]), (200, name))
            self.assertEqual(body, OWN_BODIES[answer])

    def check_given_up(self, extra):
        """Check that the request ends although its own response follows."""
        responses, arrivals = self.play(StaleScript(extra), endpoints=1, count=2)
        self.check_verdict(responses["r1"], 502, "may_have_run")
        self.assertEqual(arrivals["r1"], 1)

    def test_behind_a_refusal(self):
        self.check_delivered(create_refusal)

    def test_behind_a_success(self):
        self.check_delivered(lambda name: create_response(name, b"earlier"))

    def test_behind_a_redirection_without_a_body(self):
        self.check_delivered(
            lambda name: create_response(name, b"", "304 Not Modified")
        )

    def test_behind_several_refusals(self):
        self.check_delivered(lambda name: create_refusal(name) * 3)

    def test_behind_chunks_and_an_informational_response(self):
        def extra(name):
            head = f"HTTP/1.1 {REFUSED}\r\n{REQUEST_ID}: {name}\r\n"
            head += f"{NOT_RUN[0]}: {NOT_RUN[1]}\r\ntransfer-encoding: chunked\r\n\r\n"
            informational = b"HTTP/1.1 102 Processing\r\n\r\n"
            return informational + head.encode() + create_chunk(b"a") + b"0\r\n\r\n"

        self.check_delivered(extra)

    def test_behind_a_body_that_looks_like_a_response(self):
        """Guards against a search for the next head in the body of a stale response."""
        self.check_delivered(
            lambda name: create_refusal(name, body=create_response("r1", b"false"))
        )

    def test_stream_behind_a_refusal(self):
        self.check_delivered(
            create_refusal, create_event_stream, path="/stream/", max_attempts=1
        )

    def test_stream_behind_a_stream(self):
        self.check_delivered(
            create_event_stream, create_event_stream, path="/stream/", max_attempts=1
        )

    def test_own_refusal_behind_a_stale_one(self):
        script = StaleScript(create_refusal, create_refusal)
        responses, _ = self.play(script, endpoints=1, count=2)
        self.check_verdict(responses["r1"], 503, "not_run")

    def test_connection_is_not_used_again(self):
        script = StaleScript(create_refusal)
        responses, _ = self.play(script, endpoints=1, count=3)
        self.assertEqual(responses["r1"][0], 200)
        stale, following = script.connections
        self.assertIsNot(stale, following)

    def test_stale_responses_without_end(self):
        self.check_given_up(lambda name: create_refusal(name) * 100)

    def test_response_with_an_id_that_is_not_known(self):
        """Guards against waiting behind a response that is wrongly labelled."""
        self.check_given_up(lambda name: create_response("other", b"wrong"))

    def test_stale_response_that_ends_the_connection(self):
        headers = (NOT_RUN, ("connection", "close"))
        self.check_given_up(lambda name: create_refusal(name, headers=headers))


class SkipTest(unittest.TestCase):
    """Skipped responses of a client connection."""

    def test_response_to_head_is_not_skipped(self):
        """Guards against taking the body of a response to GET for a response."""

        async def answer_twice(stream):
            await stream.recv(65_536)
            await stream.sendall(create_refusal("r0", body=b"") + create_answer("r1"))
            await stream.recv(65_536)

        async def main():
            transport = create_memory_transport()
            listener = await transport.listen("10.1.9.0", 80, answer_twice)
            pool = create_http_pool(transport, "10.1.9.0", 80)
            with self.assertRaises(ConnectionBrokenError):
                async with pool.request("HEAD", "/", []) as response:
                    await response.skip()
            await listener.close()

        run_fleet(main)


class RefusalWithoutIdTest(StaleResponseCase):
    """A refusal that bears no id proves something on a new connection only."""

    def test_on_a_used_connection(self):
        script = StaleScript(lambda name: create_refusal(None), None)
        responses, arrivals = self.play(script, count=2, endpoints=1)
        self.check_verdict(responses["r1"], 502, "may_have_run")
        self.assertEqual(arrivals["r1"], 1)

    def test_on_a_new_connection(self):
        async def script(endpoint, stream, request_id):
            if len(endpoint.requests) == 1:
                headers = [("connection", "close")]
                closing = create_response(request_id, b"own", headers=headers)
                await endpoint.send(stream, closing)
                await stream.close()
                return
            await endpoint.send(stream, create_refusal(None))

        responses, _ = self.play(script, count=2, endpoints=1)
        self.check_verdict(responses["r1"], 503, "not_run")


if __name__ == "__main__":
    unittest.main()
