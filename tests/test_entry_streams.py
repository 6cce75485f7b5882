"""Tests of streamed responses: resumption, events of other requests, error events."""

import functools
import itertools

import curio
import msgspec

from buckthorndeal.streams import Event, format_event
from tests.support import (
    EXPECTED_TOKENS,
    REQUEST_ID,
    TOKENS,
    ClusterCase,
    answer_with,
    read_tokens,
    send_tokens,
)


class EntryStreamTest(ClusterCase):
    """Broken streams are resumed without lost or repeated tokens."""

    def check_resumed(self, regions=("r1",), endpoint_region="r1", **fault):
        """Break the first attempt of each stream and check the complete response."""
        attempts = itertools.count()
        (name,) = fault

        async def scenario(cluster):
            for position in range(TOKENS + 1):

                async def handle(request, responder, position=position):
                    broken = next(attempts) % 2 == 0
                    kind = {name: position} if broken else {}
                    await send_tokens(request, responder, **kind)

                for endpoint in ("a", "b"):
                    await cluster.add_endpoint(endpoint, "llm", handle, endpoint_region)
                answer = await cluster.chat_spilled(stream=True)
                ids, tokens = read_tokens(answer[2])
                self.assertEqual(tokens, EXPECTED_TOKENS, position)
                request_id = answer[1][REQUEST_ID]
                expected = [f"{request_id}:{index}" for index in range(TOKENS + 1)]
                self.assertEqual(ids, expected)
            self.assertEqual(next(attempts), 2 * (TOKENS + 1))

        self.run_cluster(scenario, regions)

    def test_stream_cut_at_each_token_is_resumed(self):
        """Guards against lost or repeated tokens after an endpoint fails."""
        self.check_resumed(cut_at=None)

    def test_foreign_event_at_each_token_is_dropped(self):
        """Guards against tokens of another request in a response."""
        self.check_resumed(wrong_at=None)

    def test_forwarded_stream_is_resumed(self):
        """Guards against a stream that is not resumed through another entry host."""
        self.check_resumed(("r1", "r2"), "r2", cut_at=None)

    def test_stream_without_a_second_endpoint_ends_with_an_error_event(self):
        """Guards against a truncated response that looks complete."""

        async def scenario(cluster):
            cut = functools.partial(send_tokens, cut_at=7)
            await cluster.add_endpoint("a", "llm", cut)
            return await cluster.chat(stream=True)

        answer = self.run_cluster(scenario)
        _, tokens = read_tokens(answer[2])
        self.assertEqual(tokens[:-1], EXPECTED_TOKENS[:7])
        error = msgspec.json.decode(tokens[-1])["error"]
        self.assertEqual(error["verdict"], "may_have_run")

    def test_deadline_within_a_stream_ends_it_with_an_error_event(self):
        """Guards against a stream that stays open beyond its deadline."""

        async def stall(request, responder):
            request_id = request.headers[REQUEST_ID]
            await responder.start(200, [(REQUEST_ID, request_id)])
            await responder.send(format_event(Event(f"{request_id}:0", "t0")))
            await curio.sleep(30)

        async def scenario(cluster):
            await cluster.add_endpoint("a", "llm", stall)
            body = b'{"model": "m", "stream": true}'
            headers = [("buckthorndeal-deadline-ms", "1000")]
            return await cluster.fetch(
                "POST", "/v1/chat/completions", body, headers=headers
            )

        _, tokens = read_tokens(self.run_cluster(scenario)[2])
        self.assertEqual(tokens[0], "t0")
        code = msgspec.json.decode(tokens[1])["error"]["code"]
        self.assertEqual(code, "deadline_exceeded")

    def test_refusal_before_the_first_token_is_retried_elsewhere(self):
        """Guards against failing a request because one of the endpoints is full."""

        async def scenario(cluster):
            await cluster.add_endpoint("full", "llm", answer_with(b"{}", 429))
            refused = await cluster.chat(stream=True)
            await cluster.add_endpoint("free", "llm", send_tokens)
            return refused, [await cluster.chat(stream=True) for _ in range(6)]

        refused, answers = self.run_cluster(scenario)
        self.assertEqual(refused[0], 503)
        for answer in answers:
            self.assertEqual(read_tokens(answer[2])[1], EXPECTED_TOKENS)
