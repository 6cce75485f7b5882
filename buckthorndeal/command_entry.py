"""The command `buckthorndeal-entry`: runs one entry host."""

import sys

import curio
from absl import app, flags

from buckthorndeal.daemons import run_daemon
from buckthorndeal.entry import create_entry_host
from buckthorndeal.errors import DocumentError, SettingsError, StartError, StoreError
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.settings import EntrySettings, load_settings
from buckthorndeal.transport import create_socket_transport

__all__ = ["run"]

FAILURE_STATUS = 1
SETTINGS_STATUS = 2
FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of the command."""
    if "config" not in FLAGS:
        flags.DEFINE_string("config", None, "Settings file of the entry host.")
        flags.mark_flag_as_required("config")


async def _run(settings: EntrySettings) -> None:
    transport = create_socket_transport(memory_bytes=settings.memory_bytes)
    await run_daemon(create_entry_host(settings, transport))


def main(_: list[str]) -> int | None:
    """Run an entry host until SIGTERM or SIGINT; return the exit status."""
    try:
        settings = load_settings(FLAGS.config, EntrySettings)
        configure_logging(settings.host)
        curio.run(_run, settings)
    except (SettingsError, DocumentError) as error:
        print(error, file=sys.stderr)
        return SETTINGS_STATUS
    except (StartError, StoreError) as error:
        log_event("entry_failed", reason=str(error))
        return FAILURE_STATUS
    return None


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
