"""Keys that are in doubt: neither quarantined nor cleared yet."""

import math
from collections.abc import Sequence

from buckthorndeal.quarantine._keys import is_request_key
from buckthorndeal.quarantine._suspicion import (
    count_causes,
    get_min_ends_in_doubt,
    list_open_ends,
)
from buckthorndeal.quarantine._table import EvidenceTable
from buckthorndeal.quarantine._turns import TURN_S, is_turn

# Ends of endpoints under a whole request after which it is held back while hosts
# exchange evidence, and for how long.
MIN_ENDS_TO_HOLD = 2
REVIEW_HOLD_S = 2.0


class Review:
    """Decides whether requests with a key that no answer clears may reach endpoints.

    A whole request is held back for a short time after each end. With as many ends as
    can lead to a decision a key is in doubt until one is made: they may have a cause in
    common, or another key may explain as many. Then one host at a time tries it once.

    Parameters
    ----------
    host : str
        Name of this host.
    table : EvidenceTable
        Evidence of all hosts.
    """

    def __init__(self, host: str, table: EvidenceTable) -> None:
        self._host = host
        self._table = table
        self._sent_s: dict[str, float] = {}

    def is_in_doubt(self, key: str) -> bool:
        """Return whether only one host at a time may try requests with a key."""
        ends = list_open_ends(self._table, key)
        return len(ends) >= get_min_ends_in_doubt(key)

    def must_wait(
        self, key: str, is_open: bool, hosts: Sequence[str], now_s: float
    ) -> bool:
        """Return whether a request with a key must not be sent now.

        Parameters
        ----------
        key : str
            Key that no answer clears.
        is_open : bool
            Whether an endpoint has probably ended under it just now.
        hosts : sequence of str
            All entry hosts.
        now_s : float
            Clock reading.
        """
        ends = self._table.list_ends(key)
        if not ends:
            return False
        since_s = now_s - ends[-1].learned_s
        causes = count_causes(key, ends) + is_open
        if is_request_key(key) and since_s < REVIEW_HOLD_S:
            if causes >= MIN_ENDS_TO_HOLD:
                return True
        if not self.is_in_doubt(key):
            return False
        if is_open or now_s - self._sent_s.get(key, -math.inf) < TURN_S:
            return True
        trial = f"{key}/{len(ends)}"
        return not is_turn(trial, since_s - REVIEW_HOLD_S, self._host, hosts)

    def record_sent(self, key: str, now_s: float) -> None:
        """Record that a request with a key is sent to an endpoint."""
        if self.is_in_doubt(key):
            self._sent_s[key] = now_s

    def expire(self) -> None:
        """Forget the keys that are no longer in doubt."""
        for key in list(self._sent_s):
            if not self.is_in_doubt(key):
                del self._sent_s[key]
