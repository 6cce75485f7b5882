"""Runs a daemon until the process receives a termination signal."""

import os
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from buckthorndeal.errors import BuckthorndealError, StartError
from buckthorndeal.logs import log_event
from buckthorndeal.supervision import spawn_loop

__all__ = ["Daemon", "run_daemon"]

KILLED_EXIT_STATUS = 128 + signal.SIGINT
FILE_CHECK_INTERVAL_S = 2.0


class Daemon(Protocol):
    """Methods of a daemon that `run_daemon` calls."""

    async def start(self) -> None:
        """Start serving."""

    async def wait(self) -> None:
        """Wait until the daemon cannot continue; raise the error."""

    async def drain(self) -> None:
        """Accept no new work and finish what is running."""

    async def close(self) -> None:
        """Stop everything that is still running."""


Reload = Callable[[], Awaitable[None]]


class _ShutdownSignals:
    """Sets `stop` at the first SIGTERM or SIGINT, and `hurry` at a later SIGINT.

    Process managers may send SIGTERM again, which changes nothing. A person at a
    terminal may press Ctrl-C again to end a drain, and once more to exit at once.
    """

    def __init__(self) -> None:
        self.stop = curio.UniversalEvent()
        self.hurry = curio.UniversalEvent()

    def install(self) -> None:
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        if not self.stop.is_set():
            self.stop.set()
        elif number == signal.SIGINT:
            if self.hurry.is_set():
                os._exit(KILLED_EXIT_STATUS)
            self.hurry.set()


class _Reloader:
    """Reloads after each SIGHUP and each change of the settings file.

    Parameters
    ----------
    reload : callable
        Coroutine function; its calls do not overlap.
    file : str or None
        Settings file to watch, if any.
    """

    def __init__(self, reload: Reload, file: str | None) -> None:
        self._reload = reload
        self._file = file
        self._last_file_state = _read_file_state(file)
        self._event = curio.UniversalEvent()

    def install(self) -> None:
        signal.signal(signal.SIGHUP, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        self._event.set()

    async def watch(self) -> None:
        """Poll the settings file, and request a reload when it has changed."""
        while self._file is not None:
            await curio.sleep(FILE_CHECK_INTERVAL_S)
            state = _read_file_state(self._file)
            if state != self._last_file_state:
                self._last_file_state = state
                log_event("settings_file_changed")
                await self._event.set()

    async def run(self) -> None:
        while True:
            await self._event.wait()
            self._event.clear()
            try:
                await self._reload()
            except BuckthorndealError as error:
                # The current settings stay in effect.
                log_event("reload_failed", reason=str(error))
            else:
                log_event("reloaded")


def _read_file_state(file: str | None) -> tuple[int, int, int] | None:
    """Return values that change when a file is written; None if unreadable."""
    if file is None:
        return None
    try:
        status = os.stat(file)
    except OSError:
        # The file may be in the process of being replaced. If it is really missing,
        # reading it reports that.
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)


async def run_daemon(
    daemon: Daemon,
    on_ready: Callable[[], None] | None = None,
    reload: Reload | None = None,
    settings_file: str | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain and close it.

    A second SIGINT ends the drain early: running requests are answered without their
    result. A third one ends the process at once with status 130. A signal that arrives
    before the daemon is serving ends the run without draining.

    Parameters
    ----------
    daemon : Daemon
        Daemon that is not started yet.
    on_ready : callable or None
        Called when the daemon is serving.
    reload : callable or None
        Coroutine function called after SIGHUP.
    settings_file : str or None
        File whose changes trigger `reload` too.

    Raises
    ------
    StartError
        If an address cannot be used.
    BuckthorndealError
        If the daemon cannot start for another reason, or cannot continue.
    """
    signals = _ShutdownSignals()
    signals.install()
    if reload is not None:
        reloader = _Reloader(reload, settings_file)
        reloader.install()
    stopping = await curio.spawn(signals.stop.wait)
    starting = await curio.spawn(daemon.start)
    try:
        interrupted = await _wait_for_first(stopping, starting)
    except OSError as error:
        raise StartError(f"cannot start: {error}") from error
    if interrupted:
        log_event("start_interrupted")
        return
    if on_ready is not None:
        on_ready()
    if reload is not None:
        await spawn_loop(reloader.run)
        await spawn_loop(reloader.watch)
    try:
        stopping = await curio.spawn(signals.stop.wait)
        waiting = await curio.spawn(daemon.wait)
        if await _wait_for_first(stopping, waiting):
            hurrying = await curio.spawn(signals.hurry.wait)
            draining = await curio.spawn(daemon.drain)
            await _wait_for_first(hurrying, draining)
    finally:
        async with curio.disable_cancellation():
            await daemon.close()


async def _wait_for_first(stopping: curio.Task, working: curio.Task) -> bool:
    """Wait for the first task to end; return whether it is `stopping`.

    If `working` ends first with an error, the error is raised.
    """
    working.report_crash = False
    async with curio.TaskGroup([stopping, working], wait=any) as group:
        pass
    if group.completed is stopping:
        return True
    if working.exception is not None:
        raise working.exception
    return False
