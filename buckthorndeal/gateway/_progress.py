"""Progress of a request across its attempts."""

from dataclasses import dataclass, field

from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.http_client import ClientConnection
from buckthorndeal.memory import Booking


@dataclass(frozen=True)
class BufferedResponse:
    """A response whose body has been read completely.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Names and values.
    body : bytes
        Complete body.
    booking : Booking or None
        Holds the body of a response that is kept beyond its attempt.
    """

    status: int
    headers: list[tuple[str, bytes]]
    body: bytes
    booking: Booking | None = None

    def release(self) -> None:
        """Hold nothing any more."""
        if self.booking is not None:
            self.booking.release()


@dataclass(eq=False)
class Progress:
    """Progress of a request across its attempts.

    Parameters
    ----------
    runs : int
        Failed attempts that may have run at an endpoint.
    not_run_attempts : int
        Failed attempts that no endpoint has run.
    request_sent : bool
        Whether any failed attempt has sent bytes of the request.
    is_attempting : bool
        Whether an attempt is under way.
    has_connected : bool
        Whether any attempt has had a connection.
    excluded : set of str
        Endpoints and regions that are not tried again.
    avoided : set of str
        Endpoints that are tried again only if there is no other.
    last_event_id : int or None
        Id of the last relayed event.
    events : int
        Number of relayed events.
    first_response_s : float or None
        Clock reading when the first part of the response was relayed.
    last_response_s : float
        Clock reading when the latest part was relayed.
    longest_pause_s : float
        Longest time between two successive parts of the response, in seconds.
    """

    runs: int = 0
    not_run_attempts: int = 0
    request_sent: bool = False
    is_attempting: bool = False
    has_connected: bool = False
    excluded: set[str] = field(default_factory=set)
    avoided: set[str] = field(default_factory=set)
    last_event_id: int | None = None
    events: int = 0
    first_response_s: float | None = None
    last_response_s: float = 0.0
    longest_pause_s: float = 0.0

    def record_connection(self, connection: ClientConnection) -> None:
        """Record that an attempt is about to be sent over a connection."""
        del connection
        self.has_connected = True

    def record_response_part(self, now_s: float) -> None:
        """Record that a part of the response is relayed."""
        if self.first_response_s is None:
            self.first_response_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self.last_response_s
            )
        self.last_response_s = now_s

    def create_error(
        self,
        code: str,
        status: int,
        message: str,
        retry_after_s: float | None = None,
    ) -> RequestError:
        """Return the error for the caller, with the verdict on all attempts.

        Once an attempt may have run, the status is 502. At the deadline, the status is
        504 and the verdict always ``may_have_run``.
        """
        if self.runs or status == 504:
            final_status = 504 if status == 504 else 502
            return RequestError(code, final_status, message, Verdict.MAY_HAVE_RUN)
        return RequestError(
            code, status, message, Verdict.NOT_RUN, retry_after_s=retry_after_s
        )
