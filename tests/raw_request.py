"""Requests on raw connections whose bodies stay unfinished."""

import curio

from tests.raw_caller import read_answer

TIMEOUT_S = 20.0


def create_head(path="/a", length=0, method="POST", headers=()):
    """Return the head of a request with a body of `length` bytes, None for chunks."""
    framing = "transfer-encoding: chunked"
    if length is not None:
        framing = f"content-length: {length}"
    lines = [f"{method} {path} HTTP/1.1", "host: x.example", *headers, framing]
    return "\r\n".join([*lines, "", ""]).encode()


class UnfinishedRequest:
    """A request of which everything but the last byte is sent."""

    def __init__(self, transport, address, port, head, length):
        self.answer = None
        self._reader = None
        self._transport = transport
        self._address = address
        self._port = port
        self._head = head
        self._length = length
        self._stream = None
        self._task = None

    async def start(self):
        self._stream = await self._transport.connect(self._address, self._port)
        self._task = await curio.spawn(self._send, daemon=True)
        self._reader = await curio.spawn(self._read, daemon=True)

    async def finish(self):
        """Send the last byte; return status and body of the answer."""
        await self._task.join()
        if self.answer is None:
            await self._stream.sendall(b"b")
        return await self.wait_for_answer()

    async def wait_for_answer(self):
        async with curio.timeout_after(TIMEOUT_S):
            await self._reader.join()
        return self.answer

    async def close(self):
        await self._task.cancel()
        await self._reader.cancel()
        await self._stream.close()

    async def _send(self):
        try:
            await self._stream.sendall(self._head)
            left = self._length - 1
            while left > 0:
                part = b"b" * min(left, 65_536)
                await self._stream.sendall(part)
                left -= len(part)
                await curio.sleep(0)
        except OSError:
            # The server is done with the connection.
            return

    async def _read(self):
        try:
            self.answer = await read_answer(self._stream)
        except (EOFError, OSError):
            # The request has no answer.
            return


async def start_unfinished(transport, address, port, count, length, **head):
    """Start requests with bodies that stay unfinished; return them."""
    given = create_head(length=length, **head)
    requests = []
    for _ in range(count):
        request = UnfinishedRequest(transport, address, port, given, length)
        await request.start()
        requests.append(request)
    return requests
