"""The command `buckthorndeal-coordinator`: runs one coordinator."""

from absl import app

from buckthorndeal._command_daemon import define_flags, run_configured
from buckthorndeal.coordinator import (
    Coordinator,
    create_coordinator,
    create_default_handlers,
)
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.settings import CoordinatorSettings
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "main", "run"]


def _create(settings: CoordinatorSettings) -> Coordinator:
    return create_coordinator(
        settings,
        create_socket_transport(memory_bytes=settings.memory_bytes),
        create_route_format(),
        create_default_handlers,
    )


def main(arguments: list[str]) -> int:
    """Run a coordinator until SIGTERM or SIGINT; return the exit status."""
    return run_configured("coordinator", CoordinatorSettings, _create)


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
