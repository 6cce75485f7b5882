"""Background tasks whose unexpected end is logged, counted and made up for."""

import functools
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping

import curio
from absl import logging

__all__ = ["UNEXPECTED_ERRORS", "get_failure_counts", "spawn_job", "spawn_loop"]

# Restarts are apart by a pause that doubles, up to the maximum. A loop that has run for
# longer than that starts again with the shortest pause.
MIN_RESTART_PAUSE_S = 0.05
MAX_RESTART_PAUSE_S = 2.0

# A timeout that no block has converted is a `CancelledError` too, for which Curio ends
# a task without a line in the log.
UNEXPECTED_ERRORS = (
    Exception,
    curio.TaskTimeout,
    curio.TimeoutCancellationError,
)

_failure_counts: Counter[str] = Counter()


def get_failure_counts() -> Mapping[str, int]:
    """Return how often tasks of this process have failed, by their functions."""
    return _failure_counts


async def spawn_loop(function: Callable[..., Awaitable], *args: object) -> curio.Task:
    """Spawn a task that others rely on, and restart its function if it fails.

    Parameters
    ----------
    function : callable
        Coroutine function that runs until it is cancelled. It may be called again
        after an error; what its owner keeps between messages has to allow that.
    *args : object
        Its arguments.

    Returns
    -------
    curio.Task
        Daemon task; cancelling it ends the function without a restart.
    """
    return await curio.spawn(_run_loop, function, args, daemon=True)


async def spawn_job(
    function: Callable[..., Awaitable],
    *args: object,
    on_failure: Callable[[BaseException], Awaitable[None]] | None = None,
) -> curio.Task:
    """Spawn a task that does one thing, for which somebody may wait.

    Parameters
    ----------
    function : callable
        Coroutine function.
    *args : object
        Its arguments.
    on_failure : callable, optional
        Coroutine function that is called with an unexpected error, to tell those who
        wait.

    Returns
    -------
    curio.Task
        Daemon task.
    """
    return await curio.spawn(_run_job, function, args, on_failure, daemon=True)


async def _run_loop(function: Callable[..., Awaitable], args: tuple) -> None:
    pause_s = MIN_RESTART_PAUSE_S
    while True:
        started_s = await curio.clock()
        try:
            await function(*args)
            return
        except UNEXPECTED_ERRORS:
            _record_failure(function)
        if await curio.clock() - started_s > MAX_RESTART_PAUSE_S:
            pause_s = MIN_RESTART_PAUSE_S
        await curio.sleep(pause_s)
        pause_s = min(MAX_RESTART_PAUSE_S, 2 * pause_s)


async def _run_job(
    function: Callable[..., Awaitable],
    args: tuple,
    on_failure: Callable[[BaseException], Awaitable[None]] | None,
) -> None:
    try:
        await function(*args)
    except UNEXPECTED_ERRORS as error:
        _record_failure(function)
        if on_failure is not None:
            await on_failure(error)


def _record_failure(function: Callable[..., Awaitable]) -> None:
    if isinstance(function, functools.partial):
        function = function.func
    name = getattr(function, "__qualname__", type(function).__name__)
    _failure_counts[name] += 1
    logging.exception("background task %s failed", name)
