"""Tests of closing an HTTP server while its connections are in use."""

import unittest

import curio

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import MemoryTransport, create_memory_transport
from tests.fleet_harness import run_fleet

ADDRESS = "10.1.0.1"
PORT = 80
REQUEST = b"POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"


class Server:
    """Server whose handler counts requests and responds after `work_s` seconds."""

    def __init__(self, work_s=0.0):
        self.work_s = work_s
        self.begun = 0
        self.transport = create_memory_transport()
        self.http = create_http_server(self._handle, Limits())

    async def _handle(self, request, responder):
        self.begun += 1
        await curio.sleep(self.work_s)
        await responder.respond_json(200, {})

    async def open_connections(self, count):
        """Return connections on which one request each has been answered."""
        await self.http.start(self.transport, ADDRESS, PORT)
        work_s, self.work_s = self.work_s, 0.0
        streams = []
        for _ in range(count):
            stream = await self.transport.connect(ADDRESS, PORT)
            await stream.sendall(REQUEST)
            await stream.recv(65_536)
            streams.append(stream)
        self.work_s = work_s
        self.begun = 0
        return streams


async def count_answers(streams):
    """Return how many connections bring an answer before they end."""
    return sum([bool(await stream.recv(65_536)) for stream in streams])


class HalvingTransport(MemoryTransport):
    """Transport whose callers take half of a large response until told to go on."""

    def __init__(self):
        super().__init__()
        self.may_go_on = curio.Event()

    async def listen(self, address, port, handler):
        async def handle(stream):
            sendall = stream.sendall

            async def send_halves(data):
                if len(data) > 1000:
                    await sendall(data[:1000])
                    await self.may_go_on.wait()
                    data = data[1000:]
                await sendall(data)

            stream.sendall = send_halves
            await handler(stream)

        return await super().listen(address, port, handle)


class CloseTest(unittest.TestCase):
    """A server that closes answers each request that it has begun."""

    def test_requests_that_arrive_during_the_close_are_answered(self):
        async def test():
            server = Server(work_s=0.05)
            streams = await server.open_connections(50)
            for stream in streams:
                await stream.sendall(REQUEST)
            await server.http.close()
            answers = await count_answers(streams)
            self.assertGreaterEqual(answers, server.begun)

        run_fleet(test)

    def test_running_request_is_answered_when_the_server_closes(self):
        async def test():
            server = Server(work_s=60.0)
            streams = await server.open_connections(3)
            for stream in streams:
                await stream.sendall(REQUEST)
            await curio.sleep(0.1)
            self.assertEqual(server.begun, 3)
            await server.http.close()
            for stream in streams:
                answer = await stream.recv(65_536)
                self.assertIn(b" 502 ", answer)
                self.assertIn(b"may_have_run", answer)

        run_fleet(test)

    def test_response_that_is_being_sent_is_sent_to_its_end(self):
        """Guards against the second half of a response that is lost at the close."""
        body = b"x" * 5000

        async def respond(request, responder):
            await responder.respond(200, body)

        async def test():
            transport = HalvingTransport()
            http = create_http_server(respond, Limits())
            await http.start(transport, ADDRESS, PORT)
            stream = await transport.connect(ADDRESS, PORT)
            await stream.sendall(REQUEST)
            answer = await stream.recv(65_536)
            close_task = await curio.spawn(http.close)
            while not http.closing:
                await curio.sleep(0)
            await curio.sleep(0.01)
            await transport.may_go_on.set()
            while part := await stream.recv(65_536):
                answer += part
            self.assertTrue(answer.endswith(b"\r\n\r\n" + body))
            await close_task.join()

        run_fleet(test)
