"""Tests of responses of which an endpoint sends a part, and closes."""

import unittest

import curio

from buckthorndeal.settings import RetryBudgetSettings
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

REMOTE_GATEWAY = "10.2.0.9"
PLENTY = RetryBudgetSettings(share=10.0, slack=10_000.0)
BODY = b"the whole body"
EVENTS = create_stream_events(0, 2)
AT_ONCE = 24
KINDS = ("idempotent", "non_idempotent", "stream")


def create_chunked(request_id, body):
    return create_stream_head(request_id) + create_chunk(body) + b"0\r\n\r\n"


def create_unframed(request_id, body):
    return f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n\r\n".encode() + body


class CutResponseTest(unittest.TestCase):
    """What breaks off at any byte never reaches a caller as a whole response."""

    def play(self, create, kind, cuts, host=GATEWAY, endpoints=3, attempts=3):
        """Cut the response to request number n after ``cuts[n]`` bytes.

        Return what the caller gets: status, body and the number of attempts, or None
        for a response that is visibly cut.
        """
        body = EVENTS if kind == "stream" else BODY
        results = {}
        counts = dict.fromkeys(range(len(cuts)), 0)

        async def answer(endpoint, stream, request_id):
            number = int(request_id[1:])
            counts[number] += 1
            data = create(request_id, body)
            await endpoint.send(stream, data[: cuts[number]])
            await stream.close()

        async def send(fleet, number):
            pool = fleet.create_pool(host, CALLER_PORT)
            headers = [("host", "x.example"), (REQUEST_ID, f"q{number}")]
            content = b"body %d" % number
            try:
                answer = await pool.fetch("POST", f"/{kind}/", headers, content)
                results[number] = answer[0], answer[2]
            except Exception:
                results[number] = None

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(
                    1, max_attempts=attempts, home_regions=["a"]
                )
                await fleet.put_configuration("10.1.0.1", content)
                for each in sorted({GATEWAY, host}):
                    await fleet.start_gateway(each, retry_budget=PLENTY)
                for number in range(endpoints):
                    endpoint = RawEndpoint(fleet, f"e{number}", "a-1", answer)
                    endpoint.fields.update(slots=64, version="v1")
                    fleet.endpoints[endpoint.name] = endpoint
                    await endpoint.start()
                await fleet.wait_until_ready(host)
                await curio.sleep(1.0)
                for first in range(0, len(cuts), AT_ONCE):
                    async with curio.TaskGroup() as group:
                        for number in range(len(cuts))[first : first + AT_ONCE]:
                            await group.spawn(send, fleet, number)

        run_fleet(test)
        return results, counts

    def check(self, create, kind, end, **fields):
        """Cut responses after each byte before `end`; return the most attempts."""
        cuts = list(range(end))
        results, counts = self.play(create, kind, cuts, **fields)
        for cut in cuts:
            result = results[cut]
            with self.subTest(kind=kind, cut=cut, **fields):
                self.assertGreaterEqual(counts[cut], 1)
                if result is not None:
                    self.assertGreaterEqual(result[0], 500)
        return max(counts.values())

    def test_response_with_a_length(self):
        """Guards against a 200 whose body is empty or short (MIXED)."""
        for kind in KINDS:
            body = EVENTS if kind == "stream" else BODY
            self.check(create_response, kind, len(create_response("q0", body)))

    def test_response_in_chunks(self):
        for kind in KINDS:
            body = EVENTS if kind == "stream" else BODY
            self.check(create_chunked, kind, len(create_chunked("q0", body)))

    def test_head_of_a_response_without_a_length(self):
        for kind in KINDS:
            self.check(create_unframed, kind, len(create_unframed("q0", b"")))

    def test_stream_without_a_length_that_ends_inside_its_first_event(self):
        end = len(create_unframed("q0", create_stream_events(0, 0))) - 1
        self.check(create_unframed, "stream", end)

    def test_response_through_a_host_that_relays(self):
        for kind in KINDS:
            body = EVENTS if kind == "stream" else BODY
            end = len(create_response("q0", body))
            self.check(create_response, kind, end, host=REMOTE_GATEWAY)

    def test_every_attempt_of_a_request(self):
        """Guards against a later attempt that is judged in another way."""
        end = len(create_chunked("q0", BODY))
        self.assertEqual(self.check(create_chunked, "idempotent", end), 3)
        self.assertEqual(self.check(create_chunked, "non_idempotent", end), 1)

    def test_whole_response_is_relayed(self):
        cuts = [1000] * 4
        for kind in KINDS:
            body = EVENTS if kind == "stream" else BODY
            results, _ = self.play(create_chunked, kind, cuts)
            self.assertEqual(set(results.values()), {(200, body)})


if __name__ == "__main__":
    unittest.main()
