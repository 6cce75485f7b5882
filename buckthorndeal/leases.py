"""Leases: the leader grants them, and the holder tracks how long it may use them.

Granter and holder never compare clocks. The holder counts the duration from when it
sent the request, and stops using the lease earlier by the drift bound. The granter
counts it from the last renewal that it could have accepted, and grants the lease to
another holder later by the drift bound.
"""

from dataclasses import dataclass

from buckthorndeal.statemachine import (
    GrantLease,
    LeaseAnswer,
    LeaseState,
    ReleaseLease,
    RenewLease,
)

__all__ = [
    "LeaseDenied",
    "LeaseGranter",
    "LeaseHolder",
    "LeaseOptions",
    "create_lease_granter",
    "create_lease_holder",
]


@dataclass(frozen=True)
class LeaseOptions:
    """Durations of a lease in seconds.

    Parameters
    ----------
    duration_s : float
        Time for which a grant or a renewal is valid.
    drift_bound_s : float
        Maximum drift between two clocks within `duration_s`.
    renew_every_s : float
        Interval between the holder's renewals.
    """

    duration_s: float = 6.0
    drift_bound_s: float = 0.3
    renew_every_s: float = 1.5


@dataclass(frozen=True)
class LeaseDenied:
    """Refusal of a request for a lease that another holder may still use.

    Parameters
    ----------
    holder : str
        Current holder.
    retry_after_s : float
        Time in seconds until the lease can be granted at the earliest.
    """

    holder: str
    retry_after_s: float


class LeaseGranter:
    """Decides on the leader which lease commands may be proposed.

    Parameters
    ----------
    options : LeaseOptions
        Durations of the leases.
    """

    def __init__(self, options: LeaseOptions) -> None:
        self._options = options
        self._leader_since_s: float | None = None
        self._renewed_at_s: dict[str, float] = {}

    def start_leading(self, now_s: float) -> None:
        """Start a term as leader; every held lease counts as renewed at `now_s`.

        The previous leader may have accepted renewals that this one has not seen.
        """
        self._leader_since_s = now_s
        self._renewed_at_s.clear()

    def stop_leading(self) -> None:
        """End the term as leader; requests are denied until the next one."""
        self._leader_since_s = None
        self._renewed_at_s.clear()

    def handle_request(
        self, lease: LeaseState, holder: str, now_s: float
    ) -> GrantLease | RenewLease | LeaseDenied:
        """Decide on a request to grant or renew a lease.

        Parameters
        ----------
        lease : LeaseState
            State of the lease that the leader has applied.
        holder : str
            Name of the requester, unique for each process.
        now_s : float
            Monotonic time on the leader in seconds.

        Returns
        -------
        GrantLease, RenewLease or LeaseDenied
            Command to propose, or the refusal.
        """
        if lease.holder == holder and self._leader_since_s is not None:
            # The renewal may be committed at any time from now on.
            self._renewed_at_s[lease.name] = now_s
            return RenewLease(name=lease.name, holder=holder, fencing=lease.fencing)
        wait_s = self._compute_wait(lease, now_s)
        if wait_s > 0:
            return LeaseDenied(lease.holder or "", wait_s)
        return GrantLease(
            name=lease.name,
            holder=holder,
            duration_s=self._options.duration_s,
            expected_version=lease.version,
        )

    def record_applied(self, name: str, now_s: float) -> None:
        """Count a lease from `now_s`, when its grant or renewal was applied."""
        if self._leader_since_s is not None:
            self._renewed_at_s[name] = now_s

    def _compute_wait(self, lease: LeaseState, now_s: float) -> float:
        if self._leader_since_s is None:
            return self._options.duration_s
        if lease.holder is None:
            return 0.0
        # At least the leader's own duration, because the lease may have been granted
        # under other options.
        duration_s = max(lease.duration_s, self._options.duration_s)
        renewed_at_s = self._renewed_at_s.get(lease.name, self._leader_since_s)
        end_s = renewed_at_s + duration_s + self._options.drift_bound_s
        return end_s - now_s


class LeaseHolder:
    """Tracks whether a lease may be used, by the holder's clock.

    The attribute `fencing` is the fencing token of the newest grant; 0 without one.

    Parameters
    ----------
    name : str
        Name of the lease.
    holder : str
        Name of the holder, unique for each process.
    options : LeaseOptions
        Durations of the lease.
    """

    def __init__(self, name: str, holder: str, options: LeaseOptions) -> None:
        self.name = name
        self.holder = holder
        self.fencing = 0
        self._options = options
        self._valid_until_s: float | None = None
        self._next_request_s: float | None = None
        self._released = False

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease may be used at `now_s`."""
        return self.get_remaining(now_s) > 0

    def get_remaining(self, now_s: float) -> float:
        """Return the time in seconds for which the lease may still be used."""
        if self._valid_until_s is None:
            return 0.0
        return max(0.0, self._valid_until_s - now_s)

    def is_request_due(self, now_s: float) -> bool:
        """Return whether the lease should be requested or renewed now."""
        if self._released:
            return False
        return self._next_request_s is None or now_s >= self._next_request_s

    def record_request(self, now_s: float) -> None:
        """Record that a request is sent at `now_s`."""
        self._next_request_s = now_s + self._options.renew_every_s

    def handle_answer(self, answer: LeaseAnswer, sent_at_s: float) -> bool:
        """Apply the answer to the request that was sent at `sent_at_s`.

        Returns
        -------
        bool
            Whether the lease was newly granted, that is, has a new fencing token.
        """
        lease = answer.lease
        if self._released or lease.fencing < self.fencing:
            return False
        if lease.holder != self.holder:
            self._valid_until_s = None
            return False
        if not answer.granted:
            return False
        is_newly_granted = lease.fencing > self.fencing
        self.fencing = lease.fencing
        duration_s = min(lease.duration_s, self._options.duration_s)
        valid_until_s = sent_at_s + duration_s - self._options.drift_bound_s
        if is_newly_granted or self._valid_until_s is None:
            self._valid_until_s = valid_until_s
        else:
            # Answers can arrive out of order.
            self._valid_until_s = max(self._valid_until_s, valid_until_s)
        return is_newly_granted

    def release(self) -> ReleaseLease:
        """Stop using the lease permanently and return the command that ends it.

        The answer to a renewal that is still in flight does not make the lease usable
        again.
        """
        self._released = True
        self._valid_until_s = None
        return ReleaseLease(name=self.name, holder=self.holder, fencing=self.fencing)


def create_lease_granter(options: LeaseOptions | None = None) -> LeaseGranter:
    """Return a granter that is not the leader yet."""
    return LeaseGranter(options or LeaseOptions())


def create_lease_holder(
    name: str, holder: str, options: LeaseOptions | None = None
) -> LeaseHolder:
    """Return a holder that has not been granted the lease yet."""
    return LeaseHolder(name, holder, options or LeaseOptions())
