"""Requests of an HTTP server whose handlers run."""

from collections.abc import Awaitable, Callable

import curio
from absl import logging

from buckthorndeal._http_protocol import ServerProtocol
from buckthorndeal._http_reading import RequestReader, cancel_on_disconnect
from buckthorndeal._http_refusals import create_closing_error
from buckthorndeal._http_requests import Request
from buckthorndeal._http_responding import Responder, ResponseAborted, ServerClosing
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.transport import Stream

Handler = Callable[[Request, Responder], Awaitable[None]]
ErrorHandler = Callable[[Responder, RequestError], Awaitable[None]]


class RunningRequests:
    """Runs the handler of a server for each request, and ends it with its caller.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each `Request` and its `Responder`.
    respond_error : callable
        Coroutine function that sends an error as the response to a request.
    """

    def __init__(self, handler: Handler, respond_error: ErrorHandler) -> None:
        self._handler = handler
        self._respond_error = respond_error
        self._responders: dict[curio.Task, Responder] = {}
        self._is_closing = False

    def __len__(self) -> int:
        return len(self._responders)

    async def run(
        self,
        request: Request,
        responder: Responder,
        stream: Stream,
        connection: ServerProtocol,
        reader: RequestReader,
    ) -> None:
        """Run the handler for one request, until it or the connection ends."""
        handler = await curio.spawn(self._handle, request, responder)
        self._responders[handler] = responder
        watcher = await curio.spawn(
            cancel_on_disconnect, reader, connection, responder, handler
        )
        try:
            await handler.wait()
        finally:
            del self._responders[handler]
            await watcher.cancel()
            if self._is_closing and not handler.terminated:
                # A task is cancelled only once, but its next send fails.
                await stream.abort()
            await handler.cancel()

    async def close(self) -> None:
        """Let the handlers answer that the server closes."""
        self._is_closing = True
        for handler, responder in list(self._responders.items()):
            if not responder.ended:
                await handler.cancel(exc=ServerClosing, blocking=False)

    async def _handle(self, request: Request, responder: Responder) -> None:
        # A response that has started and is not finished is cut off by closing the
        # connection, which is done by the task that spawned this one.
        try:
            await self._handler(request, responder)
        except RequestError as error:
            await self._respond_if_possible(responder, error)
        except ServerClosing:
            error = create_closing_error(Verdict.MAY_HAVE_RUN)
            await self._respond_if_possible(responder, error)
        except ResponseAborted:
            return
        except (Exception, curio.TaskTimeout) as raised:
            # Errors of files and of other connections are of the same type.
            if isinstance(raised, OSError) and responder.is_caller_gone:
                return
            logging.exception("request handler failed")
            # The handler may have failed after dispatching the request.
            error = RequestError(
                "internal", 500, "internal error", Verdict.MAY_HAVE_RUN
            )
            await self._respond_if_possible(responder, error)

    async def _respond_if_possible(
        self, responder: Responder, error: RequestError
    ) -> None:
        """Send an error unless a response has started or the caller is gone."""
        if responder.started:
            return
        try:
            await self._respond_error(responder, error)
        except OSError:
            return
