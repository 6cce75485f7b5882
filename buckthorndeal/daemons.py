"""Running a daemon until the process is told to end."""

import os
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from buckthorndeal.errors import BuckthorndealError, StartError
from buckthorndeal.logs import log_event

__all__ = ["Daemon", "run_daemon"]

KILLED_STATUS = 128 + signal.SIGTERM
FILE_CHECK_INTERVAL_S = 2.0


class Daemon(Protocol):
    """What `run_daemon` needs of a daemon."""

    async def start(self) -> None:
        """Begin to serve."""

    async def wait(self) -> None:
        """Raise as soon as the daemon cannot go on."""

    async def drain(self) -> None:
        """Take no new work and end what is running."""

    async def close(self) -> None:
        """Stop everything."""


Reload = Callable[[], Awaitable[None]]


class _DrainSignals:
    """Event set by the first SIGTERM or SIGINT; the second ends the process."""

    def __init__(self) -> None:
        self._received = False
        self.event = curio.UniversalEvent()

    def install(self) -> None:
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        if self._received:
            os._exit(KILLED_STATUS)
        self._received = True
        self.event.set()


class _Reloader:
    """Calls a function after each SIGHUP and each change of the settings file.

    Parameters
    ----------
    reload : callable
        Coroutine function; one call runs at a time.
    file : str or None
        Settings file to watch.
    """

    def __init__(self, reload: Reload, file: str | None) -> None:
        self._reload = reload
        self._file = file
        self._state = _read_file_state(file)
        self._event = curio.UniversalEvent()

    def install(self) -> None:
        signal.signal(signal.SIGHUP, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        self._event.set()

    async def watch(self) -> None:
        """Notice changes of the file that no signal tells of."""
        while self._file is not None:
            await curio.sleep(FILE_CHECK_INTERVAL_S)
            state = _read_file_state(self._file)
            if state != self._state:
                self._state = state
                log_event("settings_file_changed")
                await self._event.set()

    async def run(self) -> None:
        while True:
            await self._event.wait()
            self._event.clear()
            try:
                await self._reload()
            except BuckthorndealError as error:
                # The settings in force stay in force.
                log_event("reload_failed", reason=str(error))
            else:
                log_event("reloaded")


def _read_file_state(file: str | None) -> tuple[int, int, int] | None:
    """Return what differs after a file was written; None if it cannot be read."""
    if file is None:
        return None
    try:
        found = os.stat(file)
    except OSError:
        # It may be about to be replaced; reading it tells if it is missing.
        return None
    return (found.st_mtime_ns, found.st_size, found.st_ino)


async def run_daemon(
    daemon: Daemon,
    on_ready: Callable[[], None] | None = None,
    reload: Reload | None = None,
    settings_file: str | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain and close it.

    A second signal ends the process at once with status 143. A signal that comes
    before the daemon serves ends the run without draining.

    Parameters
    ----------
    daemon : Daemon
        Daemon that is not started.
    on_ready : callable or None
        Called when the daemon serves.
    reload : callable or None
        Coroutine function called after SIGHUP.
    settings_file : str or None
        File whose change calls `reload` too.

    Raises
    ------
    StartError
        If an address cannot be used.
    BuckthorndealError
        If the daemon cannot start for another reason, or cannot go on.
    """
    signals = _DrainSignals()
    signals.install()
    if reload is not None:
        reloader = _Reloader(reload, settings_file)
        reloader.install()
    stopping = await curio.spawn(signals.event.wait)
    starting = await curio.spawn(daemon.start)
    try:
        interrupted = await _is_first(stopping, starting)
    except OSError as error:
        raise StartError(f"cannot start: {error}") from error
    if interrupted:
        log_event("start_interrupted")
        return
    if on_ready is not None:
        on_ready()
    if reload is not None:
        await curio.spawn(reloader.run, daemon=True)
        await curio.spawn(reloader.watch, daemon=True)
    try:
        stopping = await curio.spawn(signals.event.wait)
        waiting = await curio.spawn(daemon.wait)
        if await _is_first(stopping, waiting):
            await daemon.drain()
    finally:
        async with curio.disable_cancellation():
            await daemon.close()


async def _is_first(stopping: curio.Task, working: curio.Task) -> bool:
    """Return whether `stopping` ends first; raise the error of `working`."""
    working.report_crash = False
    async with curio.TaskGroup([stopping, working], wait=any) as group:
        pass
    if group.completed is stopping:
        return True
    if working.exception is not None:
        raise working.exception
    return False
