"""Tests of an entry host with scripted endpoints: responses, limits, forwarding."""

import time

import curio
import msgspec

from buckthorndeal.entry._messages import ListEndpoints
from buckthorndeal.forwarding import ForwardedRequest, sign_request
from buckthorndeal.registry import LeaveNotice
from buckthorndeal.streams import Event, format_event
from tests.support import REQUEST_ID, ClusterCase, answer_with, send_tokens

PRIVATE = "secret-permit-4711"


def read_error(answer):
    return msgspec.json.decode(answer)["error"]


class EntryTest(ClusterCase):
    """Complete responses, refusals and their verdicts."""

    def test_connect_failure_is_retried_and_not_run_without_another_endpoint(self):
        """Guards against a refusal while another endpoint could serve the request."""

        async def scenario(cluster):
            await cluster.add_endpoint("dead", "desk", None, port=1)
            first = await cluster.fetch("GET", "/services/desk/stock/a")
            await cluster.add_endpoint("live", "desk", answer_with(b"1"))
            second = [
                (await cluster.fetch("GET", "/services/desk/stock/a"))[0]
                for _ in range(8)
            ]
            return first, second

        first, second = self.run_cluster(scenario)
        self.assertEqual(first[0], 502)
        self.assertEqual(read_error(first[2])["verdict"], "not_run")
        self.assertIsNotNone(read_error(first[2])["retry_after_s"])
        self.assertEqual(second, [200] * 8)

    def test_swapped_response_is_dropped_and_its_connection_closed(self):
        """Guards against returning the response of another request to a caller."""
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: another-request\r\n"
        closed = []

        async def swap(stream):
            await stream.recv(65536)
            await stream.sendall(head.encode() + b"content-length: 7\r\n\r\nforeign")
            closed.append(await stream.recv(1))

        async def scenario(cluster):
            listener = await cluster.transport.listen("127.0.0.1", 0, swap)
            cluster.servers.append(listener)
            await cluster.add_endpoint("swaps", "desk", None, port=listener.port)
            first = await cluster.fetch("GET", "/services/desk/stock/a")
            while not closed:
                await curio.sleep(0.005)
            await cluster.add_endpoint("right", "desk", answer_with(b"own"))
            others = [
                (await cluster.fetch("GET", "/services/desk/stock/a"))[2]
                for _ in range(8)
            ]
            return first, others

        first, others = self.run_cluster(scenario)
        self.assertEqual(first[0], 502)
        self.assertEqual(read_error(first[2])["verdict"], "may_have_run")
        self.assertEqual(closed[0], b"")
        self.assertEqual(others, [b"own"] * 8)

    def test_late_response_on_an_idle_connection_is_dropped(self):
        """Guards against a late response that is returned for the next request.

        The endpoint sends a second response on a connection that is idle by then.
        """
        late = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n%s: x\r\n\r\nlate"

        async def serve(stream):
            head = await stream.recv(65536)
            request_id = head.lower().split(REQUEST_ID.encode() + b": ")[1]
            answer = late.replace(b": x", b": " + request_id.split(b"\r\n")[0])
            answer = answer % REQUEST_ID.encode()
            await stream.sendall(answer.replace(b"late", b"own1"))
            await curio.sleep(0.02)
            await stream.sendall(answer)
            await stream.recv(1)

        async def scenario(cluster):
            listener = await cluster.transport.listen("127.0.0.1", 0, serve)
            cluster.servers.append(listener)
            await cluster.add_endpoint("e", "desk", None, port=listener.port)
            answers = []
            for _ in range(3):
                answers.append((await cluster.fetch("GET", "/services/desk/a"))[2])
                await curio.sleep(0.05)
            return answers

        self.assertEqual(self.run_cluster(scenario), [b"own1"] * 3)

    def test_deadline_ends_the_request_and_cancels_at_the_endpoint(self):
        """Guards against requests that occupy a task beyond their deadline."""

        async def hang(request, responder):
            await curio.sleep(30)

        async def scenario(cluster):
            await cluster.add_endpoint("e", "desk", hang)
            headers = [("buckthorndeal-deadline-ms", "500")]
            answer = await cluster.fetch("GET", "/services/desk/a", headers=headers)
            while not cluster.cancelled or cluster.servers[0].active_requests:
                await curio.sleep(0.01)
            return answer

        status, _, body = self.run_cluster(scenario)
        self.assertEqual(status, 504)
        self.assertEqual(read_error(body)["verdict"], "may_have_run")

    def test_endpoint_that_leaves_does_not_hold_the_caller(self):
        """Guards against a request that waits for an endpoint that is gone.

        A leave ends the wait in the same way as the expiry of a silent endpoint.
        """

        async def hang(request, responder):
            await curio.sleep(30)

        async def scenario(cluster):
            await cluster.add_endpoint("a", "desk", hang)
            router = cluster.hosts[0].router_mailbox
            task = await curio.spawn(cluster.fetch, "GET", "/services/desk/a")
            while not cluster.servers[0].active_requests:
                await curio.sleep(0.001)
            await cluster.add_endpoint("b", "desk", answer_with(b"1"))
            await router.ask(LeaveNotice(name="a", incarnation=1))
            return await task.join()

        self.assertEqual(self.run_cluster(scenario)[0], 200)

    def test_caller_that_disconnects_cancels_at_the_endpoint(self):
        """Guards against an endpoint that keeps working for a disconnected caller."""
        started, ended = [], []

        async def handle(request, responder):
            request_id = request.headers[REQUEST_ID]
            started.append(request_id)
            try:
                await responder.start(200, [(REQUEST_ID, request_id)])
                await responder.send(format_event(Event(f"{request_id}:0", "t")))
                await curio.sleep(30)
            finally:
                ended.append(request_id)

        async def scenario(cluster):
            await cluster.add_endpoint("e", "llm", handle)
            task = await curio.spawn(lambda: cluster.chat(stream=True))
            while not started:
                await curio.sleep(0.005)
            await task.cancel()
            while (
                not (cluster.cancelled and ended) or cluster.hosts[0].running_requests
            ):
                await curio.sleep(0.005)
            endpoints = await cluster.hosts[0].router_mailbox.ask(ListEndpoints())
            return endpoints[0].own_inflight, cluster.cancelled

        self.assertEqual(self.run_cluster(scenario), (0, started))
        self.assertEqual(ended, started)

    def test_workspace_limits_refuse_early(self):
        """Guards against one workspace using all capacity."""

        async def scenario(cluster):
            await cluster.add_endpoint("e", "desk", answer_with(b"1"))
            return [
                await cluster.fetch("GET", "/services/desk/a", key="key-small")
                for _ in range(3)
            ]

        answers = self.run_cluster(scenario)
        self.assertEqual([status for status, _, _ in answers], [200, 200, 429])
        error = read_error(answers[2][2])
        self.assertEqual(error["verdict"], "not_run")
        self.assertGreater(error["retry_after_s"], 1)

    def test_malformed_requests_get_a_4xx_status(self):
        """Guards against an internal error as the response to a malformed request."""
        chat = "/v1/chat/completions"
        cases = [
            ("POST", chat, b"{", "key-free", (), 400),
            ("POST", chat, b"[]", "key-free", (), 400),
            ("POST", chat, b"\xff", "key-free", (), 400),
            ("POST", chat, b'{"model": "none"}', "key-free", (), 404),
            ("POST", chat, b'{"model": "m", "stream": 1}', "key-free", (), 400),
            ("POST", chat, b'{"model": "m", "resume_from": -1}', "key-free", (), 400),
            ("GET", chat, b"", "key-free", (), 405),
            ("GET", "/services/none/a", b"", "key-free", (), 404),
            ("GET", "/services/llm/a", b"", "key-free", (), 404),
            ("POST", "/services/desk/book", b"", "key-free", (), 400),
            ("GET", "/services/desk/a", b"", "key-none", (), 401),
            ("GET", "/none", b"", "key-free", (), 404),
            ("POST", "/v1/endpoints/announce", b"{}", "key-free", (), 400),
        ]
        for value in ("0", "-1", "x", "99999999"):
            headers = (("buckthorndeal-deadline-ms", value),)
            cases.append(("GET", "/services/desk/a", b"", "key-free", headers, 400))
        headers = ((REQUEST_ID, "a b"),)
        cases.append(("GET", "/services/desk/a", b"", "key-free", headers, 400))

        async def scenario(cluster):
            for method, target, body, key, headers, expected in cases:
                status, _, answer = await cluster.fetch(
                    method, target, body, key=key, headers=headers
                )
                self.assertEqual(status, expected, (method, target, body, headers))
                self.assertEqual(read_error(answer)["verdict"], "not_run")

        self.run_cluster(scenario)

    def test_request_id_is_echoed_and_the_endpoint_sees_another(self):
        """Guards against mixed-up responses when two callers choose the same id."""
        seen = []

        async def handle(request, responder):
            seen.append(request.headers[REQUEST_ID])
            await answer_with(b"1")(request, responder)

        async def scenario(cluster):
            await cluster.add_endpoint("e", "desk", handle)
            headers = [(REQUEST_ID, "chosen")]
            return [
                (await cluster.fetch("GET", "/services/desk/a", headers=headers))[1]
                for _ in range(2)
            ]

        answers = self.run_cluster(scenario)
        self.assertEqual([head[REQUEST_ID] for head in answers], ["chosen"] * 2)
        self.assertEqual(len({"chosen", *seen}), 3)

    def test_readiness_models_directory_and_metrics(self):
        """Guards against an operator or caller path that does not respond."""

        async def scenario(cluster):
            await cluster.add_endpoint("e", "llm", send_tokens)
            await cluster.chat(stream=True)
            return [
                await cluster.fetch("GET", target)
                for target in (
                    "/healthz",
                    "/readyz",
                    "/v1/models",
                    "/v1/entry-hosts?region=r2",
                    "/metrics",
                )
            ]

        answers = self.run_cluster(scenario, ("r1", "r2"))
        self.assertEqual([status for status, _, _ in answers], [200] * 5)
        self.assertEqual(msgspec.json.decode(answers[2][2])["data"][0]["id"], "m")
        hosts = msgspec.json.decode(answers[3][2])["hosts"]
        self.assertEqual([entry["host"] for entry in hosts], ["e2", "e1"])
        self.assertIn(b'tokens_total{service="llm"} 50', answers[4][2])

    def test_every_routing_decision_is_one_log_line(self):
        """Guards against a routing decision without a log line that explains it."""

        async def scenario(cluster):
            await cluster.add_endpoint("dead", "desk", None, port=1)
            await cluster.fetch("GET", "/services/desk/a")

        self.run_cluster(scenario)
        lines = [line for line in self.log_text.splitlines() if "route_dec" in line]
        self.assertEqual(len(lines), 2)
        self.assertIn("'chosen': 'dead'", lines[0])
        self.assertIn("'chosen': None", lines[1])


class ForwardingHostTest(ClusterCase):
    """Requests that are forwarded between entry hosts."""

    def test_unbound_request_crosses_once(self):
        """Guards against refusals or loops in a region without endpoints."""

        async def scenario(cluster):
            nowhere = await cluster.chat(host=0, stream=True)
            await cluster.add_endpoint("e", "llm", send_tokens, "r2")
            return nowhere, await cluster.chat_spilled(host=0, stream=True)

        nowhere, answer = self.run_cluster(scenario, ("r1", "r2"))
        self.assertEqual(nowhere[0], 503)
        self.assertEqual(read_error(nowhere[2])["verdict"], "not_run")
        self.assertEqual(answer[0], 200)
        self.assertIn(b"t49", answer[2])
        first = self.log_text.split("'chosen': 'e'")[0]
        # The request is forwarded once, before the other host chooses the endpoint.
        self.assertEqual(first.count("'chosen': 'e2'"), 1)
        self.assertNotIn("'chosen': 'e1'", self.log_text)

    def test_bound_data_is_not_forwarded_and_not_logged(self):
        """Guards against bound data that leaves its home region."""
        target = f"/services/desk/{PRIVATE}?q={PRIVATE}"
        body = msgspec.json.encode(
            {"model": "m", "messages": [{"role": "user", "content": PRIVATE}]}
        )
        received = []

        async def handle(request, responder):
            received.append(request.target)
            await answer_with(b"1")(request, responder)

        async def scenario(cluster):
            await cluster.add_endpoint("far", "desk", handle, "r2")
            await cluster.add_endpoint("far-llm", "llm", handle, "r2")
            answers = []
            for host in (0, 1):
                for call in (("GET", target), ("POST", "/v1/chat/completions", body)):
                    answers.append(
                        await cluster.fetch(*call, host=host, key="key-bound")
                    )
            return answers

        answers = self.run_cluster(scenario, ("r1", "r2"))
        self.assertEqual([status for status, _, _ in answers], [503, 503, 421, 421])
        for _, _, answer in answers:
            self.assertEqual(read_error(answer)["verdict"], "not_run")
        self.assertIn("e1 (127.0.0.1:", read_error(answers[2][2])["message"])
        self.assertEqual(received, [])
        self.assertNotIn(PRIVATE, self.log_text)

    def test_forged_or_bound_forwarded_request_is_refused(self):
        """Guards against a caller that poses as an entry host, and faulty peers."""

        async def scenario(cluster):
            await cluster.add_endpoint("far", "desk", answer_with(b"1"), "r2")
            statuses = []
            for request_id, workspace, key, crossed in (
                ("id-1", "free", b"k" * 16, True),
                ("id-2", "bound", None, True),
                ("id-3", "free", None, True),
                ("id-4", "free", None, False),
                # A replay of the last request.
                ("id-4", "free", None, False),
            ):
                sent_ms = int(time.time() * 1000)
                request = ForwardedRequest(
                    "e1", ("e1",), crossed, 900, request_id, sent_ms, workspace
                )
                key = key or bytes.fromhex("00112233445566778899aabbccddeeff")
                head = sign_request(request, "GET", "/services/desk/a", b"", key)
                answer = await cluster.create_pool(1).fetch(
                    "GET", "/services/desk/a", head
                )
                statuses.append(answer[0])
            return statuses

        statuses = self.run_cluster(scenario, ("r1", "r2"))
        # A request from another region also needs a spill credit.
        self.assertEqual(statuses, [403, 421, 503, 200, 403])
