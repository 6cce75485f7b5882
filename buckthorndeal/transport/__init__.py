"""Byte streams and datagrams between processes.

An abstract transport with a socket form, an in-memory form, and a form that adds
delays and cuts to either of them for tests and benchmarks.
"""

from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
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
]
