"""The command `buckthorndeal-explain`: tells where a request would go now, and why."""

import sys

import curio
from absl import app, flags

from buckthorndeal.errors import RequestError
from buckthorndeal.explanation import (
    Explanation,
    fetch_explanation,
    format_explanation,
)
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "main", "run"]

EXIT_NOT_EXPLAINED = 1
TIMEOUT_S = 5.0
# Flags that are sent as parameters, if they are given.
_PARAMETERS = (
    "host",
    "path",
    "workspace",
    "service",
    "tokens",
    "output_tokens",
    "prefix",
    "prefix_tokens",
)


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_string(
        "gateway", "127.0.0.1:9002", "Metrics address of a gateway as ADDRESS:PORT."
    )
    flags.DEFINE_string("host", None, "Host name of the request.", required=True)
    flags.DEFINE_string("path", "/", "Path of the request.")
    flags.DEFINE_string("workspace", None, "Name of the workspace; never a key.")
    flags.DEFINE_string("service", None, "Service, if the route has several.")
    flags.DEFINE_integer("tokens", None, "Length of the prompt.", lower_bound=0)
    flags.DEFINE_integer("output_tokens", None, "Tokens of output.", lower_bound=0)
    flags.DEFINE_string("prefix", None, "Key of the shared part of the prompt.")
    flags.DEFINE_integer("prefix_tokens", None, "Length of that part.", lower_bound=0)


async def _fetch(address: str, port: int, parameters: dict[str, str]) -> Explanation:
    pool = create_http_pool(create_socket_transport(), address, port, 1)
    try:
        return await curio.timeout_after(TIMEOUT_S, fetch_explanation, pool, parameters)
    finally:
        await pool.close()


def main(arguments: list[str]) -> int:
    """Print the explanation; return 1 if the gateway gives none."""
    address, colon, port = flags.FLAGS.gateway.rpartition(":")
    if not colon or not port.isdigit() or len(arguments) > 1:
        raise app.UsageError("expected --gateway=ADDRESS:PORT and no arguments")
    given = {name: flags.FLAGS[name].value for name in _PARAMETERS}
    parameters = {name: str(each) for name, each in given.items() if each is not None}
    try:
        explanation = curio.run(_fetch, address.strip("[]"), int(port), parameters)
    except RequestError as error:
        print(error.message, file=sys.stderr)
        return EXIT_NOT_EXPLAINED
    except curio.TaskTimeout:
        print("the gateway has not responded in time", file=sys.stderr)
        return EXIT_NOT_EXPLAINED
    print(format_explanation(explanation), end="")
    return 0


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
