"""What the commands that run one daemon with a settings file have in common."""

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
    """A daemon that takes newer settings while it runs."""

    async def reload(self, settings: object) -> None:
        """Use newer settings."""


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_string("config", None, "Settings file.", required=True)


def run_configured(
    name: str,
    model: type[SettingsT],
    create: Callable[[SettingsT], ReloadableDaemon],
) -> int:
    """Run a daemon until told to stop; it reads its settings file again when told.

    Parameters
    ----------
    name : str
        Name of the daemon in the log.
    model : type
        Settings model.
    create : callable
        Returns the daemon for its settings.

    Returns
    -------
    int
        Exit status.
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
