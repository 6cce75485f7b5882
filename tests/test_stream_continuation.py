"""Tests of streams that broke off, and of what the next endpoint answers."""

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
FIRST_EVENTS = create_stream_events(0, 2)
END = b"0\r\n\r\n"
ERROR_TEXT = b"internal error: out of memory"
# A busy machine must not keep a host from trying the next endpoint.
PLENTY = RetryBudgetSettings(share=10.0, slack=10_000.0)
PATIENCE = {"timeout_s": 30.0, "latency_objective_s": 20.0}
AT_ONCE = 4


def create_unframed_head(request_id, status="200 OK"):
    return f"HTTP/1.1 {status}\r\n{REQUEST_ID}: {request_id}\r\n\r\n".encode()


def create_chunked(*parts):
    """Return a function that creates a whole stream of some parts."""
    body = b"".join(create_chunk(part) for part in parts)
    return lambda request_id: create_stream_head(request_id) + body + END


def create_error(status):
    """Return a function that creates an error with a text."""
    return lambda request_id: create_response(request_id, ERROR_TEXT, status)


ERRORS = {
    status: create_error(status)
    for status in (
        "500 Internal Server Error",
        "503 Service Unavailable",
        "404 Not Found",
        "201 Created",
        "204 No Content",
        "200 OK",
    )
}
JUNK = {
    "no response": lambda request_id: ERROR_TEXT + b"\r\n\r\n",
    "half a head": lambda request_id: create_unframed_head(request_id)[:-2],
    "unframed text": lambda request_id: create_unframed_head(request_id) + ERROR_TEXT,
}
NO_EVENTS = {
    "unframed": create_unframed_head,
    "length 0": lambda request_id: create_response(request_id, b""),
    "empty chunks": create_chunked(),
    "only old events": create_chunked(create_stream_events(0, 2)),
    "only a comment": create_chunked(b": " + ERROR_TEXT + b"\n\n"),
}
NO_NUMBERS = {
    "text": create_chunked(ERROR_TEXT + b"\n\n"),
    "data": create_chunked(b"data: " + ERROR_TEXT + b"\n\n"),
    "named event": create_chunked(b"event: error\ndata: " + ERROR_TEXT + b"\n\n"),
    "unframed data": lambda request_id: (
        create_unframed_head(request_id) + b"data: " + ERROR_TEXT + b"\n\n"
    ),
}


async def read_until_end(fleet, host, target, headers=()):
    """Return the body of a chunked response, and whether it came to its end.

    An error that is sent in place of a stream counts as broken off.
    """
    pool = fleet.create_pool(host, CALLER_PORT)
    given = [("host", "x.example"), (REQUEST_ID, "q1"), *headers]
    body = b""
    try:
        async with pool.request("POST", target, given, b"x") as response:
            if response.status != 200:
                return body, False
            while part := await response.read_part():
                body += part
    except Exception:
        return body, False
    return body, True


async def play(answers, host=GATEWAY, headers=(), domains=None, **changes):
    """Return the body, whether it came to its end, and the number of attempts.

    Each endpoint answers the next of `answers` and closes the connection.
    """
    attempts = []

    async def answer(endpoint, stream, request_id):
        number = min(len(attempts), len(answers) - 1)
        attempts.append(endpoint.name)
        await endpoint.send(stream, answers[number](request_id))
        await stream.close()

    async with Fleet() as fleet:
        await fleet.start_coordinators()
        content = create_configuration(1, **PATIENCE, **changes)
        await fleet.put_configuration("10.1.0.1", content)
        for each in sorted({GATEWAY, host}):
            await fleet.start_gateway(each, retry_budget=PLENTY)
        for number, domain in enumerate(domains or ["a-1"] * len(answers)):
            endpoint = RawEndpoint(fleet, f"e{number}", domain, answer)
            endpoint.fields["version"] = "v1"
            fleet.endpoints[endpoint.name] = endpoint
            await endpoint.start()
        await fleet.wait_until_ready(host)
        await curio.sleep(1.0)
        body, is_whole = await read_until_end(fleet, host, "/stream/", headers)
    return body, is_whole, len(attempts)


def play_all(*plays):
    """Return the results of some plays, which run side by side.

    Each play is a list of answers, and a dictionary of other arguments of `play`.
    """
    results = []

    async def main():
        for first in range(0, len(plays), AT_ONCE):
            some = plays[first : first + AT_ONCE]
            tasks = [await curio.spawn(_play_one, *each) for each in some]
            for task in tasks:
                results.append(await task.join())

    run_fleet(main)
    return results


async def _play_one(answers, fields):
    return await play(answers, **fields)


def break_off(request_id):
    """Return the beginning of a stream, without its end."""
    return create_stream_head(request_id) + create_chunk(FIRST_EVENTS)


def break_off_again(request_id):
    """Return two more events of a stream, without its end."""
    events = create_chunk(create_stream_events(3, 4))
    return create_stream_head(request_id) + events


class ContinuationTest(unittest.TestCase):
    """A stream that broke off continues with its next event, or visibly breaks off."""

    # The first endpoint is in the region of the host, the next one in another.
    RELAYED = {"host": REMOTE_GATEWAY, "domains": ["b-1", "a-1"]}

    def check_breaks_off(self, cases, body=FIRST_EVENTS, begin=(break_off,), **fields):
        plays = [([*begin, create_bytes], fields) for create_bytes in cases.values()]
        for name, result in zip(cases, play_all(*plays), strict=True):
            seen, is_whole, attempts = result
            with self.subTest(name):
                self.assertEqual((seen, is_whole), (body, False))
                self.assertGreaterEqual(attempts, len(begin) + 1)

    def check_continues(self, answers, **fields):
        ((seen, is_whole, attempts),) = play_all((answers, fields))
        self.assertEqual((seen, is_whole), (create_stream_events(0, 5), True))
        self.assertEqual(attempts, len(answers))

    def test_error_of_the_next_endpoint(self):
        """Guards against the text or the head of an error inside a stream."""
        self.check_breaks_off({**ERRORS, **JUNK})

    def test_answer_without_a_next_event(self):
        """Guards against a stream that ends as if it were complete (ORDER)."""
        self.check_breaks_off(NO_EVENTS)

    def test_events_without_a_number(self):
        """Guards against the text of an error inside a stream (MIXED)."""
        self.check_breaks_off(NO_NUMBERS)

    def test_event_without_a_number_behind_others(self):
        events = create_stream_events(3, 3) + b"data: " + ERROR_TEXT + b"\n\n"
        cases = {"data": create_chunked(events)}
        self.check_breaks_off(cases, create_stream_events(0, 3))

    def test_error_of_the_third_endpoint(self):
        cases = {**ERRORS, **JUNK, **NO_EVENTS, **NO_NUMBERS}
        begin = (break_off, break_off_again)
        body = create_stream_events(0, 4)
        self.check_breaks_off(cases, body, begin, max_attempts=3)

    def test_error_through_a_host_that_relays(self):
        cases = {**ERRORS, **JUNK, **NO_EVENTS, **NO_NUMBERS}
        self.check_breaks_off(cases, **self.RELAYED)

    def test_next_event_continues_the_stream(self):
        rest = create_chunked(create_stream_events(3, 5))
        self.check_continues([break_off, rest])
        self.check_continues([break_off, rest], **self.RELAYED)

    def test_comments_do_not_break_a_continuation(self):
        rest = create_chunked(b": hello\n\n", create_stream_events(3, 5))
        self.check_continues([break_off, rest])

    def test_caller_that_takes_up_a_whole_stream_gets_its_end(self):
        fields = {"headers": [("last-event-id", "5")]}
        ((seen, is_whole, _),) = play_all(([create_chunked()], fields))
        self.assertEqual((seen, is_whole), (b"", True))

    def test_caller_that_takes_up_a_stream_gets_no_closed_connection_as_its_end(self):
        fields = {"headers": [("last-event-id", "5")]}
        ((_, is_whole, _),) = play_all(([create_unframed_head] * 2, fields))
        self.assertFalse(is_whole)

    def test_stream_without_numbers_is_not_repeated(self):
        """Guards against events that come twice, as nobody can tell them apart."""
        events = b"data: a\n\ndata: b\n\n"

        def begin(request_id):
            return create_stream_head(request_id) + create_chunk(events)

        ((seen, is_whole, attempts),) = play_all(([begin, create_chunked(events)], {}))
        self.assertEqual((seen, is_whole, attempts), (events, False, 1))


if __name__ == "__main__":
    unittest.main()
