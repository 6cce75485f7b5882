"""Control host that counts its peer traffic, for the control benchmark.

Run as ``python -m buckthorndeal.bench._control_host SETTINGS COUNTERS``. On SIGUSR1
it writes the CPU time and the bytes sent and received since the start to the file
COUNTERS. HTTP calls of operators are not counted.
"""

import pathlib
import signal
import sys
import time

import curio
import msgspec

from buckthorndeal.bench._counted_stream import CountedStream
from buckthorndeal.command_control import load_settings_and_sections
from buckthorndeal.control import create_control
from buckthorndeal.transport import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
    create_socket_transport,
)

__all__ = ["Counters", "CountingTransport"]

LIFETIME_S = 300


class Counters(msgspec.Struct):
    """Payload bytes of the counted streams, and CPU seconds of the process."""

    sent: int = 0
    received: int = 0
    cpu_s: float = 0.0

    def count_sent(self, size: int) -> None:
        """Count bytes that were sent."""
        self.sent += size

    def count_received(self, size: int) -> None:
        """Count bytes that were received."""
        self.received += size


class CountingTransport(Transport):
    """Counts the bytes of opened streams, and of those accepted on one port.

    Parameters
    ----------
    inner : Transport
        Opens and accepts the streams.
    """

    def __init__(self, inner: Transport) -> None:
        super().__init__(inner.memory)
        self.counters = Counters()
        self.counted_port: int | None = None
        self._inner = inner

    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream whose bytes are counted."""
        return self._count_bytes(await self._inner.connect(address, port))

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Accept streams; their bytes are counted if `port` is the counted port."""
        if port != self.counted_port:
            return await self._inner.listen(address, port, handler)

        async def handle(stream: Stream) -> None:
            await handler(self._count_bytes(stream))

        return await self._inner.listen(address, port, handle)

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Open a datagram port; datagrams are not counted."""
        return await self._inner.open_datagrams(address, port)

    def _count_bytes(self, stream: Stream) -> CountedStream:
        return CountedStream(
            stream, self.counters.count_received, self.counters.count_sent
        )


async def _run(settings_file: str) -> None:
    settings, texts = load_settings_and_sections(settings_file)
    TRANSPORT.counted_port = settings.peer_listen.port
    daemon = create_control(settings, texts, TRANSPORT)
    await daemon.start()
    await curio.ignore_after(LIFETIME_S, daemon.wait)


TRANSPORT = CountingTransport(create_socket_transport())


def main(settings_file: str, counters_file: str) -> None:
    """Run the control host until it is killed, for at most `LIFETIME_S`."""

    def write_counters(number: int, frame: object) -> None:
        TRANSPORT.counters.cpu_s = time.process_time()
        data = msgspec.json.encode(TRANSPORT.counters)
        pathlib.Path(counters_file).write_bytes(data)

    signal.signal(signal.SIGUSR1, write_counters)
    curio.run(_run, settings_file)


if __name__ == "__main__":
    main(*sys.argv[1:])
