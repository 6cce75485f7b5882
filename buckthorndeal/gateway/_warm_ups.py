"""Requests of this host to cold endpoints; no I/O.

One host of the region sends to a cold endpoint, so that the requests of all hosts
together keep its rate limit.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from buckthorndeal.subsetting import choose_owner, choose_owners

# Share of a cold endpoint's rate limit that is used.
COLD_RATE_SHARE = 0.9
# Hosts that ask an endpoint whether it is cold, the owner first. Few enough that their
# questions add little to the requests of the owner.
MAX_ASKING_HOSTS = 3
# A host that was stopped for longer may have been replaced.
REPLACED_S = 2.0
# Time after which a host that goes on is listed again, and hears of the others.
LISTED_AGAIN_S = 1.5


@dataclass(slots=True)
class _Turn:
    """Whether it is this host that sends to an endpoint.

    Parameters
    ----------
    is_own : bool
        Whether it is.
    last_s : float
        Clock reading of the last request, or when another host may have sent one.
    """

    is_own: bool
    last_s: float


class WarmUps:
    """Tells when this host may send a request to a cold endpoint.

    A host that takes over from another one begins as if that one had just sent.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._hosts: tuple[str, ...] = ()
        self._changed_s = -math.inf
        self._resumes_s = -math.inf
        self._turns: dict[str, _Turn] = {}

    def set_hosts(self, hosts: Sequence[str], now_s: float) -> None:
        """Replace the hosts that may send to the endpoints of the region.

        Parameters
        ----------
        hosts : sequence of str
            Names of the hosts; empty if this host does not know yet who they are.
        now_s : float
            Clock reading.
        """
        if tuple(hosts) == self._hosts:
            return
        self._hosts = tuple(hosts)
        self._changed_s = now_s
        for endpoint, turn in self._turns.items():
            was_own, turn.is_own = turn.is_own, self._is_own(endpoint)
            if turn.is_own and not was_own:
                turn.last_s = now_s

    def is_own(self, endpoint: str) -> bool:
        """Return whether it is this host that sends to a cold endpoint."""
        return self._get_turn(endpoint).is_own

    def may_ask(self, endpoint: str) -> bool:
        """Return whether this host may ask an endpoint whether it is cold."""
        asking = choose_owners(endpoint, self._hosts, MAX_ASKING_HOSTS)
        return self._host in asking

    def may_send(self, endpoint: str, rate_per_s: float, now_s: float) -> bool:
        """Return whether this host may send a request to a cold endpoint now.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        rate_per_s : float
            Requests per second that it may get.
        now_s : float
            Clock reading.
        """
        if now_s < self._resumes_s:
            return False
        turn = self._get_turn(endpoint)
        return turn.is_own and now_s >= turn.last_s + 1.0 / rate_per_s

    def record_request(self, endpoint: str, now_s: float) -> None:
        """Record that a request is sent to a cold endpoint."""
        self._get_turn(endpoint).last_s = now_s

    def record_stop(self, stopped_s: float, now_s: float) -> None:
        """Record that this host was stopped, and may have been replaced meanwhile.

        Parameters
        ----------
        stopped_s : float
            For how long it was stopped.
        now_s : float
            Clock reading.
        """
        if stopped_s >= REPLACED_S:
            self._resumes_s = now_s + LISTED_AGAIN_S

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._turns.pop(endpoint, None)

    def _get_turn(self, endpoint: str) -> _Turn:
        turn = self._turns.get(endpoint)
        if turn is None:
            turn = _Turn(self._is_own(endpoint), self._changed_s)
            self._turns[endpoint] = turn
        return turn

    def _is_own(self, endpoint: str) -> bool:
        if self._host not in self._hosts:
            return False
        return choose_owner(endpoint, self._hosts) == self._host
