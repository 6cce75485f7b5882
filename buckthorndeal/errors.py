"""Exception classes of the package and the verdict on failed requests."""

import enum

import msgspec

__all__ = [
    "DECODING_ERRORS",
    "AuthenticationError",
    "BuckthorndealError",
    "ChartError",
    "ConfigurationError",
    "ConflictError",
    "ConnectionBrokenError",
    "ConnectionClosedError",
    "CorruptStoreError",
    "DocumentError",
    "ForbiddenError",
    "FrameError",
    "MembershipChangeError",
    "MemoryShortageError",
    "NotLeaderError",
    "PeerError",
    "PeerFailureError",
    "RequestError",
    "SettingsError",
    "ShortageError",
    "StartError",
    "StoreError",
    "ValidationError",
    "Verdict",
    "WireError",
]


# What a decoder raises on content of any kind. One that is nested too deeply gives
# RecursionError, at a depth that depends on the stack of the caller.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Verdict(enum.Enum):
    """Whether a request may have run at an endpoint.

    ``NOT_RUN`` is used only when it is certain: no byte of the request was passed to
    the kernel for sending to an endpoint.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class BuckthorndealError(Exception):
    """Base class of all exceptions raised by the package."""


class ChartError(BuckthorndealError):
    """A state chart is malformed, or an event is not allowed in a state."""


class ConfigurationError(BuckthorndealError):
    """A configuration is malformed or inconsistent.

    Parameters
    ----------
    path : str
        Path of the invalid value, or the name of the invalid route.
    reason : str
        Why it is invalid.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class SettingsError(BuckthorndealError):
    """A settings file cannot be used.

    Parameters
    ----------
    file : str
        Path of the settings file.
    path : str
        Path of the value inside the file, such as ``$.listen.port``.
    value : object
        The rejected value.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, file: str, path: str, value: object, allowed: str) -> None:
        super().__init__(f"{file}: {path}: value {value!r} is not allowed: {allowed}")
        self.file = file
        self.path = path
        self.value = value
        self.allowed = allowed


class StartError(BuckthorndealError):
    """A daemon cannot start, for example because its port is in use."""


class WireError(BuckthorndealError):
    """A message or an event stream violates its protocol or exceeds a limit."""


class FrameError(WireError):
    """A frame is malformed, truncated or too large."""


class AuthenticationError(WireError):
    """A frame or a forwarded request has no valid MAC, or is a replay."""


class PeerError(BuckthorndealError):
    """A message to another process was not answered.

    Parameters
    ----------
    message : str
        What happened.
    verdict : Verdict
        ``NOT_RUN`` if no byte of the message was sent, ``MAY_HAVE_RUN`` otherwise.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class PeerFailureError(PeerError):
    """The peer has answered a call with a failure, as one that does not know it."""


class StoreError(BuckthorndealError):
    """State on disk cannot be read or written."""


class CorruptStoreError(StoreError):
    """A record before the end of a file is damaged.

    Parameters
    ----------
    file : str
        Path of the damaged file.
    offset : int
        Byte offset of the damaged record.
    reason : str
        What is wrong with the record.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: offset {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class DocumentError(BuckthorndealError):
    """A change to the operating document is refused."""


class ValidationError(DocumentError):
    """The text of a section does not satisfy its model.

    Parameters
    ----------
    section : str
        Name of the section.
    path : str
        Path of the value inside the section.
    reason : str
        What is wrong with the value.
    """

    def __init__(self, section: str, path: str, reason: str) -> None:
        super().__init__(f"section {section!r}: {path}: {reason}")
        self.section = section
        self.path = path
        self.reason = reason


class ConflictError(DocumentError):
    """Another change based on the same revision was accepted first.

    Parameters
    ----------
    section : str
        Name of the section.
    winner_author : str
        Team that wrote the accepted change.
    winner_revision : int
        Revision of the section that the accepted change created.
    diff : str
        Unified diff from the accepted text to the refused text.
    """

    def __init__(
        self, section: str, winner_author: str, winner_revision: int, diff: str
    ) -> None:
        super().__init__(
            f"section {section!r} is at revision {winner_revision} "
            f"by team {winner_author!r}"
        )
        self.section = section
        self.winner_author = winner_author
        self.winner_revision = winner_revision
        self.diff = diff


class ForbiddenError(DocumentError):
    """The team may not change the section, or its key is not valid."""


class NotLeaderError(BuckthorndealError):
    """The replica cannot handle the call because it is not the leader.

    Parameters
    ----------
    leader : str or None
        Presumed leader; None if it is unknown.
    """

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader


class MembershipChangeError(BuckthorndealError):
    """A change to the voters or learners is currently not allowed."""


class MemoryShortageError(BuckthorndealError):
    """A message does not fit into the memory that the process has for messages.

    Parameters
    ----------
    reason : str
        What there is no room for.
    is_excess : bool
        Whether the incomplete messages of its owner alone hold too much.
    """

    def __init__(self, reason: str, is_excess: bool = False) -> None:
        super().__init__(reason)
        self.is_excess = is_excess


class RequestError(BuckthorndealError):
    """A caller's request fails and is answered with an error response.

    Parameters
    ----------
    code : str
        Stable machine-readable code, such as ``overloaded``.
    status : int
        HTTP status.
    message : str
        Explanation for the caller.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float or None
        Seconds after which to retry; None if a retry cannot help.
    """

    def __init__(
        self,
        code: str,
        status: int,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.message = message
        self.verdict = verdict
        self.retry_after_s = retry_after_s

    def to_body(self) -> dict:
        """Return the JSON object that the caller receives."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "verdict": self.verdict.value,
                "retry_after_s": self.retry_after_s,
            }
        }


class ShortageError(RequestError):
    """A request was not sent, as this host lacks descriptors or memory for it.

    Parameters
    ----------
    reason : str
        What is missing.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            "host_shortage",
            503,
            f"this host cannot open a connection: {reason}",
            Verdict.NOT_RUN,
            retry_after_s=1.0,
        )


class ConnectionBrokenError(RequestError):
    """A connection failed after bytes of the request were passed to the kernel.

    Parameters
    ----------
    reason : str
        Description of the failure.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            "connection_broken",
            502,
            f"connection broken: {reason}",
            Verdict.MAY_HAVE_RUN,
        )


class ConnectionClosedError(ConnectionBrokenError):
    """The peer has closed or reset the connection before its response was complete."""


class ResponseCutError(RequestError):
    """A response was cut, as there is no room for it in the memory of this process.

    Parameters
    ----------
    is_excess : bool
        Whether its server alone holds too much, and not all servers together.
    """

    def __init__(self, is_excess: bool) -> None:
        super().__init__(
            "host_shortage",
            502,
            "this host lacks memory for the response",
            Verdict.MAY_HAVE_RUN,
        )
        self.is_excess = is_excess
