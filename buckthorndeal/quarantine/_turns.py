"""Turns in which one entry host at a time may try a request."""

from collections.abc import Sequence

from buckthorndeal.subsetting import choose_owner

# Hosts learn of what the first turn follows at different times, so each uses only the
# first half of its turn.
TURN_S = 5.0


def is_turn(trial: str, elapsed_s: float, host: str, hosts: Sequence[str]) -> bool:
    """Return whether it is the turn of a host to try a request.

    Parameters
    ----------
    trial : str
        What is tried; all hosts take turns in an order that depends on it.
    elapsed_s : float
        Seconds since the first turn began; negative before that.
    host : str
        The host that asks.
    hosts : sequence of str
        All entry hosts; without them the host is cut off, and has no turn.
    """
    if not hosts or elapsed_s < 0:
        return False
    number, offset_s = divmod(elapsed_s, TURN_S)
    if offset_s > TURN_S / 2:
        return False
    return choose_owner(f"{trial}/{int(number)}", hosts) == host
