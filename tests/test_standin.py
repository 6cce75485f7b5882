"""Tests of the simulated endpoints over HTTP and the endpoint protocol."""

import itertools
import unittest

import curio
import msgspec

from buckthorndeal.entry._messages import ListEndpoints
from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.standin import (
    StandinEngine,
    StandinPlainService,
    StandinSettings,
    create_standin,
    iter_tokens,
)
from buckthorndeal.transport import create_socket_transport
from tests.support import REQUEST_ID, ClusterCase, read_tokens

PROMPT = "word " * 40
EXPECTED = "".join(itertools.islice(iter_tokens(PROMPT), 6))


class StandinEngineTest(unittest.TestCase):
    """Simulated engine behind an HTTP server."""

    def run_engine(self, scenario, **settings):
        async def main():
            transport = create_socket_transport()
            engine = StandinEngine(("m",), **{"token_s": 0.002, **settings})
            server = create_http_server(engine.handle, Limits())
            await server.start(transport, "127.0.0.1", 0)
            pool = create_http_pool(transport, "127.0.0.1", server.port)

            async def post(target, priority=5, header_request_id="r", **fields):
                headers = [
                    (REQUEST_ID, header_request_id),
                    ("buckthorndeal-priority", str(priority)),
                ]
                body = msgspec.json.encode(fields)
                try:
                    status, _, answer = await pool.fetch("POST", target, headers, body)
                except RequestError as error:
                    return error.code, b""
                return status, answer

            async def chat(**fields):
                messages = [{"role": "user", "content": PROMPT}]
                fields = {"messages": messages, "model": "m", "max_tokens": 6, **fields}
                return await post("/v1/chat/completions", **fields)

            try:
                async with curio.timeout_after(10):
                    return await scenario(engine, chat, post)
            finally:
                await pool.close()
                await server.close()

        return curio.run(main)

    def test_resumed_stream_continues_the_same_answer(self):
        """Guards against engines that answer differently after a resume."""

        async def scenario(engine, chat, post):
            parts = [await chat(stream=True), await chat(stream=True, resume_from=4)]
            return [read_tokens(body) for _, body in parts], await chat()

        parts, whole = self.run_engine(scenario)
        self.assertEqual(parts[1][0], ["r:4", "r:5", "r:6"])
        self.assertEqual(parts[1][1], parts[0][1][4:])
        message = msgspec.json.decode(whole[1])["choices"][0]["message"]
        self.assertEqual(message["content"], EXPECTED)

    def test_prefix_is_cached_in_limited_memory(self):
        """Guards against a cache that never hits or never evicts."""

        async def scenario(engine, chat, post):
            usages = []
            for text in (PROMPT, PROMPT, "other " * 64, PROMPT):
                _, body = await chat(messages=[{"role": "user", "content": text}])
                details = msgspec.json.decode(body)["usage"]["prompt_tokens_details"]
                usages.append(details["cached_tokens"])
            return usages

        self.assertEqual(self.run_engine(scenario, cache_blocks=4), [0, 32, 0, 0])

    def test_full_queue_refuses_and_priority_goes_first(self):
        """Guards against an unbounded queue and ignored priorities."""

        async def scenario(engine, chat, post):
            ended = []

            async def send_chat(priority):
                await chat(
                    priority=priority, header_request_id=str(priority), max_tokens=20
                )
                ended.append(priority)

            tasks = []
            for count, priority in enumerate((5, 1, 9), 1):
                tasks.append(await curio.spawn(send_chat, priority))
                while engine.running + engine.queued < count:
                    await curio.sleep(0.001)
            refused = (await chat())[0]
            for task in tasks:
                await task.join()
            return refused, ended, engine.running

        result = self.run_engine(scenario, slots=1, max_queue=2)
        self.assertEqual(result, (429, [5, 9, 1], 0))

    def test_cancel_frees_the_slot(self):
        """Guards against a cancelled request that keeps its slot."""

        async def scenario(engine, chat, post):
            for waiting in (0, 1):
                task = await curio.spawn(lambda: chat(max_tokens=4000))
                while not engine.running:
                    await curio.sleep(0.001)
                queued = await curio.spawn(lambda: chat(header_request_id="q"))
                while not engine.queued:
                    await curio.sleep(0.001)
                for name in ("q", "r") if waiting else ("r", "q"):
                    await post("/cancel", request_id=name)
                for ended in (task, queued):
                    await ended.join()
                while engine.running or engine.queued:
                    await curio.sleep(0.001)
            return sorted(engine.cancelled)

        cancelled = self.run_engine(scenario, slots=1)
        self.assertEqual(cancelled, ["q", "q", "r", "r"])

    def test_old_fencing_number_is_refused_and_orders_are_idempotent(self):
        """Guards against orders of a placement holder that has lost its lease."""

        async def scenario(engine, chat, post):
            def order(number, fencing, action="load"):
                return post(
                    "/orders",
                    order_id=number,
                    fencing=fencing,
                    action=action,
                    model="n",
                    version="1",
                )

            order_statuses = [
                (await order(*arguments))[0]
                for arguments in (
                    ("1", 2),
                    ("2", 1, "unload"),
                    ("3", 3, "unload"),
                    ("1", 2),
                )
            ]
            return order_statuses, engine.models

        result = self.run_engine(scenario, model_slots=2)
        self.assertEqual(result, ([200, 409, 200, 200], ("m",)))

    def test_load_without_a_free_model_slot_is_refused(self):
        """Guards against a load order that evicts the last copy of another model."""

        async def scenario(engine, chat, post):
            fields = {"fencing": 1, "model": "n", "version": "2"}
            full, _ = await post("/orders", order_id="1", action="load", **fields)
            order = {"order_id": "2", "action": "unload", "fencing": 1, "model": "m"}
            await post("/orders", **order)
            freed, _ = await post("/orders", order_id="3", action="load", **fields)
            return full, freed, engine.models, engine.versions

        result = self.run_engine(scenario)
        self.assertEqual(result, (409, 200, ("n",), ("2",)))


class StandinAnnounceTest(ClusterCase):
    """Announcement, service and leave over the endpoint protocol."""

    def test_standin_announces_to_all_registrars_and_leaves(self):
        """Guards against an endpoint known to one host only, or after it has left."""

        async def list_names(cluster):
            return [
                [view.name for view in await host.router_mailbox.ask(ListEndpoints())]
                for host in cluster.hosts
            ]

        async def scenario(cluster):
            settings = StandinSettings(
                "d", "desk", "r1", "r1-1", (("127.0.0.1", cluster.hosts[1].port),)
            )
            plain = StandinPlainService(service_s=0.05)
            standin = create_standin(settings, plain, cluster.transport)
            await standin.start()
            while await list_names(cluster) != [["d"], ["d"]]:
                await curio.sleep(0.005)
            booking = await curio.spawn(cluster.book, "k", b'{"bells": 3}', 1)
            while not plain.running:
                await curio.sleep(0.001)
            await standin.drain()
            refused = (await cluster.book("k2"))[1]["error"]["verdict"]
            names = await list_names(cluster)
            return await booking.join(), plain.bookings, names, refused

        booking, bookings, names, refused = self.run_cluster(scenario, ("r1", "r1"))
        self.assertEqual(booking, (201, {"number": 1, "booked": {"bells": 3}}))
        self.assertEqual(bookings, [{"bells": 3}])
        self.assertEqual((names, refused), ([[], []], "not_run"))
