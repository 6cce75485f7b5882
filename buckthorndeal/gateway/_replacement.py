"""Attempts that are opened in advance, before another one is given up."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)

import curio
from absl import logging

from buckthorndeal.errors import ShortageError, Verdict
from buckthorndeal.gateway._attempt import Attempt, AttemptError
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._decisions import request_decision, withdraw_attempt
from buckthorndeal.gateway._messages import (
    Decision,
    Dispatch,
    Refusal,
)
from buckthorndeal.http_client import ClientConnection
from buckthorndeal.mailbox import MailboxError
from buckthorndeal.policy.views import AttemptOutcome

# Longest time for which two endpoints may work on one stream.
MAX_OVERLAP_S = 0.2
# As a path comes back, a new connection may be open some milliseconds before what was
# held up arrives. For this time the silent stream may go on.
MIN_OVERLAP_S = 0.1
SENDING_POLL_S = 0.02
# Limit of the targets that are tried while an attempt goes on.
MAX_TARGETS = 3

Opener = Callable[
    [int, Decision, Callable[[ClientConnection], None]],
    AbstractAsyncContextManager[Attempt],
]


class Opening:
    """An attempt that is being opened, or open, while another one goes on.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    attempt_id : int
        Id of the attempt on this host.
    decision : Decision
        Target of the attempt.

    Attributes
    ----------
    is_settled : bool
        Whether the head of the response has been checked, or the attempt has failed.
    """

    def __init__(
        self, context: GatewayContext, attempt_id: int, decision: Decision
    ) -> None:
        self._context = context
        self._attempt_id = attempt_id
        self.decision = decision
        self._settled = curio.Event()
        self._sent_s: float | None = None
        self._connection: ClientConnection | None = None
        self._notices = 0
        self._has_begun = False
        self._stack = AsyncExitStack()
        self._task: curio.Task | None = None
        self._attempt: Attempt | None = None
        self._error: AttemptError | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the head of the response has arrived, or the attempt has failed."""
        return self._settled.is_set()

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request by now."""
        if self._error is not None:
            return self._error.verdict is not Verdict.NOT_RUN
        return self._sent_s is not None

    async def start(self, open_attempt: Opener) -> None:
        """Open the attempt in a task of its own."""
        self._task = await curio.spawn(self._open, open_attempt, daemon=True)

    async def _open(self, open_attempt: Opener) -> None:
        attempt = open_attempt(self._attempt_id, self.decision, self._record_sent)
        self._has_begun = True
        try:
            self._attempt = await self._stack.enter_async_context(attempt)
        except AttemptError as error:
            self._error = error
        except Exception as error:
            # Whoever waits must not end with it, as the attempt before goes on.
            self._error = self._convert_error(error)
        finally:
            async with curio.disable_cancellation():
                await self._settled.set()

    def _convert_error(self, error: Exception) -> AttemptError:
        if not isinstance(error, ShortageError):
            logging.exception("an attempt failed unexpectedly")
        was_sent = self._sent_s is not None
        verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
        return AttemptError(str(error), verdict, was_sent, AttemptOutcome.CANCELLED)

    def _record_sent(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._notices = connection.informational_count
        self._sent_s = self._context.clock()

    def _update_sent(self) -> None:
        """Move the time of the sending on if the other host has not sent it yet."""
        if self._notices != self._connection.informational_count:
            self._record_sent(self._connection)

    async def wait_until_taken(self, max_overlap_s: float | None) -> None:
        """Wait for the head, or `max_overlap_s` from when the request was sent.

        Another host tells as long as it has sent the request to no endpoint.
        """
        if max_overlap_s is None:
            await self._settled.wait()
        while not self.is_settled:
            left_s = SENDING_POLL_S
            if self._sent_s is not None:
                self._update_sent()
                left_s = self._sent_s + max_overlap_s - self._context.clock()
            if left_s <= 0:
                return
            await curio.ignore_after(min(left_s, SENDING_POLL_S), self._settled.wait)

    async def wait_for_previous(self) -> None:
        """Wait until the attempt before has had time to go on."""
        if self._sent_s is not None:
            left_s = self._sent_s + MIN_OVERLAP_S - self._context.clock()
            await curio.sleep(max(0.0, left_s))

    async def join(self) -> Attempt:
        """Return the attempt once it is open.

        Raises
        ------
        AttemptError
            If there is no response that can be relayed.
        """
        await self._task.join()
        if self._error is not None:
            raise self._error
        return self._attempt

    @asynccontextmanager
    async def enter(self) -> AsyncIterator[Attempt]:
        """Yield the attempt once it is open, and end it on exit; raise as `join`."""
        try:
            attempt = await self.join()
        except curio.CancelledError:
            await self.close()
            raise
        async with self._stack:
            yield attempt

    async def close(self) -> None:
        """End the attempt, open or not."""
        async with curio.disable_cancellation():
            if self._task is not None:
                await self._task.cancel()
            await self._stack.aclose()
        if not self._has_begun:
            await withdraw_attempt(self._context, self._attempt_id)


class Replacement:
    """Attempt that is opened in advance, before another one is given up.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    open_attempt : callable
        Called with an attempt's id, its target, and a function to be called with the
        connection before the request is sent; returns the context in which the attempt
        is open.
    record_failure : callable
        Coroutine function called with the target and the error of an attempt that has
        failed while the one before goes on.
    record_run : callable
        Called when an attempt is ended, as the one before goes on, that may have run.
    """

    def __init__(
        self,
        context: GatewayContext,
        open_attempt: Opener,
        record_failure: Callable[[Decision, AttemptError], Awaitable[None]],
        record_run: Callable[[], None],
    ) -> None:
        self._context = context
        self._open_attempt = open_attempt
        self._record_failure = record_failure
        self._record_run = record_run
        self._is_searching = False
        self._opening: Opening | None = None

    @property
    def is_open(self) -> bool:
        """Whether there is an attempt, being opened or open."""
        return self._opening is not None

    async def find(
        self,
        create_dispatch: Callable[[], Dispatch | None],
        max_overlap_s: float | None,
    ) -> bool:
        """Open an attempt elsewhere; return whether it is taken there.

        While another search goes on, or its attempt is kept, this one finds nothing.
        An attempt is taken once the head of the response has arrived, or
        `max_overlap_s` after the request was sent, if it has not failed before. A
        search that is cancelled keeps its attempt, as the one before may have failed.

        Parameters
        ----------
        create_dispatch : callable
            Returns the query for a target, or None if the request may not be repeated.
        max_overlap_s : float or None
            Longest time in seconds for which two targets may work on the request; None
            for no limit.
        """
        if self._is_searching or self._opening is not None:
            return False
        self._is_searching = True
        try:
            for _ in range(MAX_TARGETS):
                dispatch = create_dispatch()
                opening = await self._open(dispatch) if dispatch is not None else None
                if opening is None:
                    return False
                await opening.wait_until_taken(max_overlap_s)
                if not opening.is_settled or await self._is_open(opening):
                    if max_overlap_s is not None:
                        await opening.wait_for_previous()
                    return True
            return False
        finally:
            self._is_searching = False

    async def _open(self, dispatch: Dispatch) -> Opening | None:
        try:
            decision = await request_decision(self._context, dispatch)
        except MailboxError:
            return None
        if isinstance(decision, Refusal):
            return None
        opening = Opening(self._context, dispatch.attempt_id, decision)
        self._opening = opening
        await opening.start(self._open_attempt)
        return opening

    async def _is_open(self, opening: Opening) -> bool:
        try:
            await opening.join()
        except AttemptError as error:
            self._opening = None
            await self._record_failure(opening.decision, error)
            return False
        return True

    def take(self) -> Opening | None:
        """Return the attempt, if there is one, to go on with it."""
        opening, self._opening = self._opening, None
        return opening

    async def release(self) -> None:
        """End the attempt, if there is one; record that it may have run."""
        opening = self.take()
        if opening is None:
            return
        try:
            await opening.close()
        finally:
            if opening.may_have_run:
                self._record_run()
