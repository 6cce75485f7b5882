"""Command of the entry host daemon."""

import os
import signal
import sys

import curio
from absl import app, flags

from buckthorndeal.entry import EntryHost, create_entry_host
from buckthorndeal.errors import DocumentError, SettingsError, StoreError
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.settings import EntrySettings, load_settings
from buckthorndeal.transport import create_socket_transport

__all__ = ["run", "serve_until_signalled"]

STORE_STATUS = 1
SETTINGS_STATUS = 2
KILLED_STATUS = 128 + signal.SIGTERM
FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of this command."""
    if "config" not in FLAGS:
        flags.DEFINE_string("config", None, "Settings file of the entry host.")
        flags.mark_flag_as_required("config")


class DrainSignals:
    """Event set by the first SIGTERM or SIGINT; the second ends the process."""

    def __init__(self) -> None:
        self._received = False
        self.event = curio.UniversalEvent()

    def install(self) -> None:
        """Handle the signals from now on."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        if self._received:
            os._exit(KILLED_STATUS)
        self._received = True
        self.event.set()


async def serve_until_signalled(hosts: list[EntryHost]) -> None:
    """Wait for SIGTERM or SIGINT and drain; a second signal ends the process.

    Raises
    ------
    StoreError
        If the store of a host fails; the host cannot go on.
    """
    signals = DrainSignals()
    signals.install()
    waiting = await curio.spawn(signals.event.wait)
    failures = [await curio.spawn(host.wait) for host in hosts]
    async with curio.TaskGroup([waiting, *failures], wait=any) as tasks:
        pass
    if tasks.completed is not waiting:
        raise tasks.completed.exception
    async with curio.TaskGroup() as group:
        for host in hosts:
            await group.spawn(host.drain)


async def _serve(settings: EntrySettings) -> None:
    host = create_entry_host(settings, create_socket_transport())
    await host.start()
    await serve_until_signalled([host])
    await host.close()


def main(_: list[str]) -> int | None:
    """Load the settings and serve."""
    try:
        settings = load_settings(FLAGS.config, EntrySettings)
        configure_logging(settings.host)
        curio.run(_serve, settings)
    except (SettingsError, DocumentError) as error:
        print(error, file=sys.stderr)
        return SETTINGS_STATUS
    except StoreError as error:
        log_event("entry_store_error", reason=str(error))
        return STORE_STATUS
    return None


def run() -> None:
    """Entry point of the console script."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
