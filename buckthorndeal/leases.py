"""Leases: the granter's rules on the leader and the holder's clock.

Granter and holder never compare clocks. The holder counts from the moment at which
it sent the request, and stops early by the drift bound. The granter counts from the
last renewal that it could have accepted, and waits longer by the drift bound.
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
    """Times of a lease in seconds.

    Parameters
    ----------
    duration_s : float
        How long a grant or a renewal lasts.
    drift_bound_s : float
        Largest difference that two clocks build up within `duration_s`.
    renew_every_s : float
        Time between renewals of the holder.
    """

    duration_s: float = 6.0
    drift_bound_s: float = 0.3
    renew_every_s: float = 1.5


@dataclass(frozen=True)
class LeaseDenied:
    """The lease belongs to another holder.

    Parameters
    ----------
    holder : str
        Current holder.
    retry_after_s : float
        When the lease can pass at the earliest, in seconds.
    """

    holder: str
    retry_after_s: float


class LeaseGranter:
    """Decides on the leader which lease command may be proposed.

    Parameters
    ----------
    options : LeaseOptions
        Times of the leases.
    """

    def __init__(self, options: LeaseOptions) -> None:
        self._options = options
        self._leader_since_s: float | None = None
        self._counted_from_s: dict[str, float] = {}

    def start_leading(self, now_s: float) -> None:
        """Begin a leadership; the time of every lease is counted afresh."""
        self._leader_since_s = now_s
        self._counted_from_s.clear()

    def stop_leading(self) -> None:
        """End the leadership; requests are denied until it begins again."""
        self._leader_since_s = None
        self._counted_from_s.clear()

    def handle_request(
        self, lease: LeaseState, holder: str, now_s: float
    ) -> GrantLease | RenewLease | LeaseDenied:
        """Decide a request.

        Parameters
        ----------
        lease : LeaseState
            The lease as applied on the leader.
        holder : str
            Who asks; unique for each process.
        now_s : float
            Monotonic time of the leader.

        Returns
        -------
        GrantLease, RenewLease or LeaseDenied
            The command to propose, or the refusal.
        """
        if lease.holder == holder and self._leader_since_s is not None:
            # The renewal may be accepted any time from now on.
            self._counted_from_s[lease.name] = now_s
            return RenewLease(name=lease.name, holder=holder, fencing=lease.fencing)
        wait_s = self._count_remaining(lease, now_s)
        if wait_s > 0:
            return LeaseDenied(lease.holder or "", wait_s)
        return GrantLease(
            name=lease.name,
            holder=holder,
            duration_s=self._options.duration_s,
            expected_version=lease.version,
        )

    def record_applied(self, name: str, now_s: float) -> None:
        """Count the time of a lease whose grant or renewal was applied just now."""
        if self._leader_since_s is not None:
            self._counted_from_s[name] = now_s

    def _count_remaining(self, lease: LeaseState, now_s: float) -> float:
        if self._leader_since_s is None:
            return self._options.duration_s
        if lease.holder is None:
            return 0.0
        # Never less than the leader's own duration: the lease may have been granted
        # under other options.
        duration_s = max(lease.duration_s, self._options.duration_s)
        counted_from_s = self._counted_from_s.get(lease.name, self._leader_since_s)
        end_s = counted_from_s + duration_s + self._options.drift_bound_s
        return end_s - now_s


class LeaseHolder:
    """Tracks on the holder's clock whether a lease may be used.

    Parameters
    ----------
    name : str
        Lease name.
    holder : str
        Name of the holder, unique for each process.
    options : LeaseOptions
        Times of the lease.
    """

    def __init__(self, name: str, holder: str, options: LeaseOptions) -> None:
        self.name = name
        self.holder = holder
        self.fencing = 0
        self._options = options
        self._usable_until_s: float | None = None
        self._next_request_s: float | None = None
        self._released = False

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease may be used at `now_s`."""
        return self.get_remaining(now_s) > 0

    def get_remaining(self, now_s: float) -> float:
        """Return for how long the lease may be used, in seconds."""
        if self._usable_until_s is None:
            return 0.0
        return max(0.0, self._usable_until_s - now_s)

    def is_request_due(self, now_s: float) -> bool:
        """Return whether the lease should be requested or renewed now."""
        if self._released:
            return False
        return self._next_request_s is None or now_s >= self._next_request_s

    def record_request(self, now_s: float) -> None:
        """Note that a request is sent at `now_s`."""
        self._next_request_s = now_s + self._options.renew_every_s

    def handle_answer(self, answer: LeaseAnswer, sent_at_s: float) -> bool:
        """Take the answer to the request that was sent at `sent_at_s`.

        Returns
        -------
        bool
            Whether the lease is new: its fencing number has changed.
        """
        lease = answer.lease
        if self._released or lease.fencing < self.fencing:
            return False
        if lease.holder != self.holder:
            self._usable_until_s = None
            return False
        if not answer.granted:
            return False
        is_new = lease.fencing > self.fencing
        self.fencing = lease.fencing
        duration_s = min(lease.duration_s, self._options.duration_s)
        until_s = sent_at_s + duration_s - self._options.drift_bound_s
        if is_new or self._usable_until_s is None:
            self._usable_until_s = until_s
        else:
            # Answers can overtake each other.
            self._usable_until_s = max(self._usable_until_s, until_s)
        return is_new

    def release(self) -> ReleaseLease:
        """Stop using the lease for good and return the command that ends it.

        A renewal that is still under way must not bring the lease back into use.
        """
        self._released = True
        self._usable_until_s = None
        return ReleaseLease(name=self.name, holder=self.holder, fencing=self.fencing)


def create_lease_granter(options: LeaseOptions | None = None) -> LeaseGranter:
    """Return a granter that does not lead yet."""
    return LeaseGranter(options or LeaseOptions())


def create_lease_holder(
    name: str, holder: str, options: LeaseOptions | None = None
) -> LeaseHolder:
    """Return a holder without a lease."""
    return LeaseHolder(name, holder, options or LeaseOptions())
