"""Tests of the memory that an entry host holds for the responses of endpoints."""

import gc
import time
from functools import partial

import curio
import msgspec

from buckthorndeal.memory import MemoryAccount
from buckthorndeal.streams import Event, format_event
from tests.support import REQUEST_ID, ClusterCase, answer_with, send_tokens

MIB = 1 << 20
CAPACITY_BYTES = 8 * MIB
CALLERS = 16
HEARTBEAT_INTERVAL_S = 0.5
SILENCE_S = 3.0
PART = b"data: x" * 4_096
BODY = b"y" * MIB


def is_endless(request):
    messages = msgspec.json.decode(request.body).get("messages")
    return messages == ["endless"]


async def send_without_end(request, responder):
    await responder.start(200, [(REQUEST_ID, request.headers[REQUEST_ID])])
    while True:
        await responder.send(PART)


async def answer(request, responder):
    if is_endless(request):
        await send_without_end(request, responder)
    elif msgspec.json.decode(request.body).get("stream"):
        await send_tokens(request, responder)
    else:
        await answer_with(b"{}")(request, responder)


async def send_heartbeats(cluster):
    """Keep the endpoints from expiring on a busy machine."""
    while True:
        await cluster.send_heartbeats()
        await curio.sleep(HEARTBEAT_INTERVAL_S)


class EntryResponseMemoryTest(ClusterCase):
    """Responses hold no more than the account, over real sockets."""

    def run_limited(self, scenario, handler):
        async def run(cluster):
            account = MemoryAccount(CAPACITY_BYTES, time.monotonic)
            cluster.transport.memory = account
            for name in ("a", "b"):
                await cluster.add_endpoint(name, "llm", handler)
            heartbeats = await curio.spawn(send_heartbeats, cluster, daemon=True)
            await scenario(cluster, account)
            await heartbeats.cancel()
            while account.held_bytes:
                await curio.sleep(0.02)

        self.run_cluster(run)

    def check_endless(self, stream):
        async def call_endless(cluster):
            try:
                status, _, _ = await cluster.chat(messages=["endless"], stream=stream)
            except Exception:
                return None
            return status

        async def scenario(cluster, account):
            async with curio.TaskGroup(wait=all) as group:
                for _ in range(CALLERS):
                    await group.spawn(call_endless, cluster)
                for _ in range(10):
                    status, _, _ = await cluster.chat(stream=stream)
                    self.assertEqual(status, 200)
                    await curio.sleep(0.02)
            self.assertGreater(account.peak_bytes, MIB)
            self.assertLessEqual(account.peak_bytes, CAPACITY_BYTES)

        self.run_limited(scenario, answer)

    def test_endless_bodies(self):
        """Guards against a process that grows with each body without end."""
        self.check_endless(False)

    def test_endless_events(self):
        """Guards against a process that grows with each event without end."""
        self.check_endless(True)

    def test_large_answers_wait_for_each_other(self):
        """Guards against half-read answers that take the room of each other."""

        async def scenario(cluster, account):
            async with curio.TaskGroup(wait=all) as group:
                for _ in range(12):
                    await group.spawn(cluster.chat)
            for status, _, body in group.results:
                self.assertEqual((status, body), (200, BODY))
            self.assertGreater(account.peak_bytes, MIB)

        self.run_limited(scenario, answer_with(BODY))

    def test_long_event_is_not_kept_until_the_next_one(self):
        """Guards against a long event for each silent stream, which nothing bounds."""
        text = "x" * (MIB // 2)

        async def send_long_event(request, responder):
            request_id = request.headers[REQUEST_ID]
            await responder.start(200, [(REQUEST_ID, request_id)])
            event = Event(f"{request_id}:0", text)
            await responder.send(format_event(event))
            del event
            await curio.sleep(SILENCE_S)

        async def scenario(cluster, account):
            chat = partial(cluster.chat, stream=True)
            caller = await curio.spawn(chat)
            while account.peak_bytes < len(text) or account.held_bytes:
                await curio.sleep(0.02)
            await curio.sleep(0.1)
            self.assertEqual(count_long_events(len(text)), 0)
            await caller.cancel()

        self.run_limited(scenario, send_long_event)


def count_long_events(size):
    return sum(
        isinstance(each, Event) and len(each.data) >= size for each in gc.get_objects()
    )


if __name__ == "__main__":
    import unittest

    unittest.main()
