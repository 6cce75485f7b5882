"""Starts a daemon that may use so much memory: ``KIND MEMORY_BYTES --config=FILE``."""

import functools
import importlib
import sys

from buckthorndeal.transport import create_socket_transport


def main():
    """Run the command of a kind of daemon until SIGTERM or SIGINT."""
    kind, memory_bytes = sys.argv[1:3]
    del sys.argv[1:3]
    command = importlib.import_module(f"buckthorndeal.command_{kind}")
    command.create_socket_transport = functools.partial(
        create_socket_transport, memory_bytes=int(memory_bytes)
    )
    command.run()


if __name__ == "__main__":
    main()
