"""Records of evidence that hosts exchange; ages stand in for clocks, which differ."""

import msgspec


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """Key of a request that an endpoint had just begun to answer.

    Parameters
    ----------
    key : str
        What the request has in common with others, as a digest.
    depth : int
        Position among the keys of the request; 0 for the most common one.
    attempt_of : str
        Digest of the id of the request, which its repeats keep; empty for a key that
        several requests in progress may share, and for an attempt that was sent just
        before the end.
    """

    key: str
    depth: int
    attempt_of: str = ""


class EndpointEnd(msgspec.Struct, frozen=True, array_like=True):
    """Unplanned end of an endpoint, with what it had just begun to answer.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    incarnation : int
        The incarnation that ended; several hosts may report the same end.
    suspects : tuple of Suspect
        Keys of the requests that it had just begun to answer.
    age_s : float
        Seconds since the end.
    """

    endpoint: str
    incarnation: int
    suspects: tuple[Suspect, ...]
    age_s: float = 0.0


class KeyAnswers(msgspec.Struct, frozen=True, array_like=True):
    """How often endpoints have answered requests with a suspect key.

    Parameters
    ----------
    host : str
        Entry host that counts.
    key : str
        What the request has in common with others, as a digest.
    after : int
        Answers to requests that were sent after the key became suspect.
    before : bool
        Whether there was an answer shortly before that.
    """

    host: str
    key: str
    after: int
    before: bool


class QuarantineDecision(msgspec.Struct, frozen=True, array_like=True):
    """Decision on a key; of two decisions the one with the higher revision holds.

    Parameters
    ----------
    key : str
        What the request has in common with others, as a digest.
    revision : int
        Number of the decision on this key.
    active : bool
        Whether requests with the key are refused.
    wait_s : float
        Seconds after this decision until one request may try again.
    age_s : float
        Seconds since the decision.
    """

    key: str
    revision: int
    active: bool
    wait_s: float
    age_s: float = 0.0


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Evidence and decisions, as sent from one host to another."""

    ends: tuple[EndpointEnd, ...] = ()
    answers: tuple[KeyAnswers, ...] = ()
    quarantines: tuple[QuarantineDecision, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.ends or self.answers or self.quarantines)
