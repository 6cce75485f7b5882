"""The command `buckthorndeal-gateway`: runs an entry host with a route table."""

import sys

import curio
from absl import app, flags

from buckthorndeal.daemons import run_daemon
from buckthorndeal.errors import SettingsError, StartError, StoreError
from buckthorndeal.gateway import create_gateway
from buckthorndeal.gateway.dialect import create_own_dialect
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.settings import GatewaySettings, load_settings
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "main", "run"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_string("config", None, "Settings file.", required=True)


def main(arguments: list[str]) -> int:
    """Run until told to stop; return the exit status."""
    config = flags.FLAGS.config
    try:
        settings = load_settings(config, GatewaySettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(settings.host)
    daemon = create_gateway(
        settings, create_socket_transport(), create_route_format(), create_own_dialect()
    )

    async def reload() -> None:
        await daemon.reload(load_settings(config, GatewaySettings))

    try:
        curio.run(run_daemon, daemon, None, reload)
    except (StartError, StoreError) as error:
        log_event("gateway_failed", reason=str(error))
        return EXIT_FAILURE
    return 0


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
