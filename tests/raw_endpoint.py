"""Endpoint that sends scripted bytes in place of proper responses."""

import curio

from tests.fleet_harness import ENDPOINT_PORT, REQUEST_ID, Endpoint

# Ends a script that sends without end, if the gateway does not close first.
MAX_SENT_BYTES = 64 << 20


class RawEndpoint(Endpoint):
    """Endpoint of a `Fleet` that handles connections itself.

    `script` is a coroutine function called with this endpoint, the connection and the
    id of each request. Requests for paths that end in ``/ready`` get a response.
    """

    def __init__(self, fleet, name, domain, script):
        super().__init__(fleet, name, domain, script, "s", {})
        self.sent_bytes = 0
        self.connections = 0
        self._listener = None

    async def start(self):
        self._listener = await self.fleet.transport.listen(
            self.address, ENDPOINT_PORT, self._serve
        )
        self._task = await curio.spawn(self._send_heartbeats, daemon=True)

    async def close(self):
        await self._task.cancel()
        await self._listener.close()

    async def _serve(self, stream):
        self.connections += 1
        while (request := await self._read_request(stream)) is not None:
            path, request_id = request
            if path.endswith("/ready"):
                await self.send(stream, create_response(request_id, b"ok"))
                continue
            self.requests.append(request_id)
            await self.script(self, stream, request_id)

    async def _read_request(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.recv(65_536)
            if not part:
                return None
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        while len(body) < int(headers.get("content-length", 0)):
            body += await stream.recv(65_536)
        return lines[0].split()[1], headers.get(REQUEST_ID, "")

    async def send(self, stream, data):
        self.sent_bytes += len(data)
        assert self.sent_bytes < MAX_SENT_BYTES
        await stream.sendall(data)


def create_response(request_id, body, status="200 OK", headers=()):
    """Return a complete response; one without an id for None."""
    given = [] if request_id is None else [(REQUEST_ID, request_id)]
    lines = "".join(f"{name}: {value}\r\n" for name, value in [*given, *headers])
    head = f"HTTP/1.1 {status}\r\n{lines}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def create_stream_head(request_id):
    """Return the head of a response in chunks."""
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n"
    return f"{head}transfer-encoding: chunked\r\n\r\n".encode()


def create_chunk(data):
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)
