"""Byte streams and datagrams between processes.

`Transport` is an abstract class, implemented over sockets and in memory. For tests
and benchmarks `ShapedTransport` wraps either of them and simulates delays and
partitions.
"""

from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
    is_shortage,
)
from buckthorndeal.transport._memory import MemoryTransport, create_memory_transport
from buckthorndeal.transport._shaped import (
    LinkShape,
    ShapedTransport,
    create_link_shape,
    create_shaped_transport,
)
from buckthorndeal.transport._socket import SocketTransport, create_socket_transport

__all__ = [
    "DatagramPort",
    "LinkShape",
    "Listener",
    "MemoryTransport",
    "ShapedTransport",
    "SocketTransport",
    "Stream",
    "StreamHandler",
    "Transport",
    "create_link_shape",
    "create_memory_transport",
    "create_shaped_transport",
    "create_socket_transport",
    "is_shortage",
]
