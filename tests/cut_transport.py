"""Transport that loses its path to some addresses, for tests."""

import curio

from buckthorndeal.transport import Stream, Transport

POLL_S = 0.01


class CutTransport(Transport):
    """Cuts connections to the addresses for which `is_cut_off` is true.

    `manner` is None while the path is open. With "hang" nothing arrives any more and
    new connections are not answered; "reset" ends the open ones and refuses new ones;
    with "refuse" the open ones go on.
    """

    def __init__(self, inner, is_cut_off):
        super().__init__(inner.memory)
        self._inner = inner
        self._is_cut_off = is_cut_off
        self._streams = []
        self.manner = None

    async def cut(self, manner):
        self.manner = manner
        if manner == "reset":
            for stream in self._streams:
                await stream.abort()

    def heal(self):
        self.manner = None

    async def connect(self, address, port):
        if not self._is_cut_off(address):
            return await self._inner.connect(address, port)
        await self.wait_while_hanging()
        if self.manner is not None:
            raise ConnectionRefusedError(f"cut off from {address}:{port}")
        stream = _CutStream(self, await self._inner.connect(address, port))
        self._streams.append(stream)
        return stream

    async def wait_while_hanging(self):
        while self.manner == "hang":
            await curio.sleep(POLL_S)

    async def listen(self, address, port, handler):
        return await self._inner.listen(address, port, handler)

    async def open_datagrams(self, address, port):
        return await self._inner.open_datagrams(address, port)


class _CutStream(Stream):
    """Stream that delivers nothing while its transport hangs."""

    def __init__(self, transport, inner):
        self._transport = transport
        self._inner = inner
        self._ended = False

    async def recv(self, max_bytes):
        data = await self._inner.recv(max_bytes)
        while self._transport.manner == "hang" and not self._ended:
            await curio.sleep(POLL_S)
        return b"" if self._ended else data

    async def sendall(self, data):
        # As into the buffers of the kernel.
        await curio.spawn(self._send_later, data, daemon=True)

    async def _send_later(self, data):
        await self._transport.wait_while_hanging()
        if not self._ended:
            try:
                await self._inner.sendall(data)
            except OSError:
                return

    def is_readable(self):
        return self._inner.is_readable() and self._transport.manner != "hang"

    def is_ended(self):
        return self._inner.is_ended() and self._transport.manner != "hang"

    def has_unsent(self):
        return self._inner.has_unsent()

    def end_reading(self):
        self._inner.end_reading()

    async def close(self):
        self._ended = True
        await self._inner.close()

    async def abort(self):
        self._ended = True
        await self._inner.abort()
