"""Shared code of the commands that run a daemon with a settings file."""

import sys
from collections.abc import Callable
from typing import Protocol, TypeVar

import curio
from absl import flags

from buckthorndeal.daemons import Daemon, run_daemon
from buckthorndeal.errors import SettingsError, StartError, StoreError
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.settings import load_settings

EXIT_FAILURE = 1
EXIT_SETTINGS = 2

SettingsT = TypeVar("SettingsT")


class ReloadableDaemon(Daemon, Protocol):
    """A daemon that accepts new settings while it runs."""

    async def reload(self, settings: object) -> None:
        """Apply new settings."""


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_string("config", None, "Settings file.", required=True)


def run_configured(
    name: str,
    model: type[SettingsT],
    create: Callable[[SettingsT], ReloadableDaemon],
) -> int:
    """Run a daemon until SIGTERM or SIGINT.

    The settings file is loaded again after SIGHUP and when it changes.

    Parameters
    ----------
    name : str
        Name of the daemon in the log.
    model : type
        Model of the settings file.
    create : callable
        Creates the daemon from its settings.

    Returns
    -------
    int
        Exit status; 2 if the settings are not valid, 1 if the daemon fails.
    """
    config = flags.FLAGS.config
    try:
        settings = load_settings(config, model)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(settings.host)
    daemon = create(settings)

    async def reload() -> None:
        await daemon.reload(load_settings(config, model))

    try:
        curio.run(run_daemon, daemon, None, reload, config)
    except (StartError, StoreError) as error:
        log_event(f"{name}_failed", reason=str(error))
        return EXIT_FAILURE
    return 0
