"""Endpoints of the plays of cold endpoints: what is true of them, and heartbeats."""

import bisect
import enum
from dataclasses import dataclass, field

from buckthorndeal.fleet import EndpointRecord, EndpointState

REGION = "a"
SERVICE_NAME = "s"
COLD_START_S = 3.0
SLOTS = 64


class ColdCause(enum.Enum):
    """How an endpoint becomes cold."""

    NEW = "started with a new id"
    RESTARTED = "started with its id"
    AGAIN = "became cold again"
    TAKEN_BACK = "before the end of an evacuation"


# What hosts have to keep to from the start, whether a heartbeat has arrived or not.
CERTAIN_CAUSES = (ColdCause.NEW, ColdCause.TAKEN_BACK)


@dataclass(eq=False)
class ColdTime:
    """One time for which an endpoint is cold.

    Parameters
    ----------
    cause : ColdCause
        How it has become cold.
    start_s, end_s : float
        Clock readings.
    evacuated_s : float
        Clock reading at the begin of the evacuation; `start_s` if there is none.
    told_s : dict of tuple to float
        Clock reading from which a heartbeat could have told a process of a gateway.
    arrivals : list of Arrival
        Requests of those that could have known of it.
    """

    cause: ColdCause
    start_s: float
    end_s: float
    evacuated_s: float
    told_s: dict = field(default_factory=dict)
    arrivals: list = field(default_factory=list)


@dataclass(frozen=True)
class Arrival:
    """One request at an endpoint.

    Parameters
    ----------
    at_s : float
        Clock reading.
    host : str
        The host that has sent it.
    knew : bool
        Whether the host took the endpoint for cold.
    state : str
        What had happened to the host.
    """

    at_s: float
    host: str
    knew: bool
    state: str


@dataclass(eq=False)
class PlayEndpoint:
    """One endpoint: its process, its cold times, and what it has got.

    Parameters
    ----------
    name : str
        Id.
    failure_domain : str
        Its failure domain.
    address : str
        Address, which each new id has of its own.
    started_s : float
        Clock reading at the start of its process.
    """

    name: str
    failure_domain: str
    address: str
    started_s: float
    registrar: int = 0
    incarnation: int = 1
    sequence: int = 0
    is_running: bool = True
    # Heartbeats are lost until then.
    silent_until_s: float = 0.0
    evacuated_until_s: float = 0.0
    # Its process has ended before then, and another id has taken its place.
    gone_s: float = 0.0
    ended_s: list = field(default_factory=list)
    cold_times: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)

    def become_cold(self, cause, now_s, evacuated_s=None):
        """Begin a cold time."""
        begun_s = now_s if evacuated_s is None else evacuated_s
        time = ColdTime(cause, now_s, now_s + COLD_START_S, begun_s)
        self.cold_times.append(time)

    def get_cold_s(self, now_s):
        """Return for how long the endpoint is cold."""
        ends_s = [each.end_s for each in self.cold_times[-1:]]
        return max(0.0, max(ends_s, default=0.0) - now_s)

    def list_cold_times(self, at_s):
        """Return the cold times that a clock reading lies in."""
        return [each for each in self.cold_times if each.start_s <= at_s < each.end_s]

    def get_warm_since_s(self):
        """Return since when it has run, been warm and not been evacuated."""
        ends_s = [each.end_s for each in self.cold_times[-1:]]
        return max(self.started_s, self.evacuated_until_s, *ends_s)

    def end(self, now_s):
        """End the process."""
        self.is_running = False
        self.ended_s.append(now_s)

    def list_ends(self, since_s):
        """Return when processes have ended since a clock reading."""
        return [at_s for at_s in self.ended_s if at_s >= since_s]

    def restart(self, now_s):
        """Start a new process under the same id."""
        self.incarnation += 1
        self.sequence = 0
        self.is_running = True
        self.started_s = now_s

    def create_heartbeat(self, now_s):
        """Return the next heartbeat."""
        self.sequence += 1
        return EndpointRecord(
            self.name,
            self.incarnation,
            self.sequence,
            SERVICE_NAME,
            REGION,
            self.failure_domain,
            self.address,
            SLOTS,
            EndpointState.READY,
            cold_s=self.get_cold_s(now_s),
        )


def find_most(arrivals):
    """Return the largest group of some sorted arrivals that lies within one second."""
    times_s = [each.at_s for each in arrivals]
    most = []
    for last, at_s in enumerate(times_s):
        first = bisect.bisect_right(times_s, at_s - 1.0)
        if last - first + 1 > len(most):
            most = arrivals[first : last + 1]
    return most
