"""The command `buckthorndeal-control`: runs one control host."""

import os
import sys
from glob import glob

import curio
from absl import app, flags

from buckthorndeal.control import create_control
from buckthorndeal.daemons import run_daemon
from buckthorndeal.document import create_document
from buckthorndeal.errors import SettingsError, StartError, StoreError, ValidationError
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.settings import ControlSettings, load_settings
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "load_initial_texts", "main", "run"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
SECTION_SUFFIX = ".jsonc"


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_string("config", None, "Settings file.", required=True)


def load_initial_texts(settings: ControlSettings, config: str) -> dict[str, str]:
    """Load the sections of the directory `initial_document` of the settings.

    Parameters
    ----------
    settings : ControlSettings
        Settings; the directory may be relative to that of the settings file.
    config : str
        Path of the settings file.

    Returns
    -------
    dict of str to str
        Texts of the sections by name; empty if the settings name no directory.

    Raises
    ------
    SettingsError
        If the directory has no sections or they are not valid.
    """
    if settings.initial_document is None:
        return {}
    directory = os.path.join(os.path.dirname(config), settings.initial_document)
    texts = {}
    for file in sorted(glob(os.path.join(directory, f"*{SECTION_SUFFIX}"))):
        with open(file, encoding="utf-8") as stream:
            texts[os.path.basename(file).removesuffix(SECTION_SUFFIX)] = stream.read()
    allowed = "a directory of valid sections, <section>.jsonc"
    if not texts:
        raise SettingsError(config, "$.initial_document", directory, allowed)
    try:
        create_document(texts)
    except ValidationError as error:
        raise SettingsError(
            config, "$.initial_document", directory, f"{allowed} ({error})"
        ) from error
    return texts


def load_settings_and_sections(config: str) -> tuple[ControlSettings, dict[str, str]]:
    """Load the settings and the initial sections.

    Parameters
    ----------
    config : str
        Path of the settings file.

    Raises
    ------
    SettingsError
        If they are not valid, if the host is neither a voter nor a learner, or if
        it is a voter without a data directory.
    """
    settings = load_settings(config, ControlSettings)
    voters = [each.host for each in settings.voters]
    if settings.host in voters and settings.data_directory is None:
        raise SettingsError(
            config, "$.data_directory", None, "a directory, because this host votes"
        )
    if settings.host not in (*voters, *(each.host for each in settings.learners)):
        raise SettingsError(
            config, "$.host", settings.host, "a host in voters or learners"
        )
    return settings, load_initial_texts(settings, config)


def main(arguments: list[str]) -> int:
    """Run a control host until SIGTERM or SIGINT; return the exit status."""
    try:
        settings, texts = load_settings_and_sections(flags.FLAGS.config)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(settings.host)
    transport = create_socket_transport(memory_bytes=settings.memory_bytes)
    daemon = create_control(settings, texts, transport)
    try:
        curio.run(run_daemon, daemon)
    except (StartError, StoreError) as error:
        log_event("control_failed", reason=str(error))
        return EXIT_FAILURE
    return 0


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    app.run(main)


if __name__ == "__main__":
    run()
