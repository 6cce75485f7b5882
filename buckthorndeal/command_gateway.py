"""The command `buckthorndeal-gateway`: runs one entry host with a route table."""

from absl import app

from buckthorndeal._command_daemon import define_flags, run_configured
from buckthorndeal.gateway import Gateway, create_gateway
from buckthorndeal.gateway.dialect import create_default_dialect
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.settings import GatewaySettings
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "main", "run"]


def _create(settings: GatewaySettings) -> Gateway:
    return create_gateway(
        settings,
        create_socket_transport(memory_bytes=settings.memory_bytes),
        create_route_format(),
        create_default_dialect(),
    )


def main(arguments: list[str]) -> int:
    """Run an entry host until SIGTERM or SIGINT; return the exit status."""
    return run_configured("gateway", GatewaySettings, _create)


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
