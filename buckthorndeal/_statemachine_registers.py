"""Leases and ledger views of the replicated control state."""

from buckthorndeal._statemachine_messages import (
    ChangeView,
    GrantLease,
    LeaseAnswer,
    LeaseState,
    ReleaseLease,
    RenewLease,
    ViewAnswer,
    ViewState,
)


class LeaseTable:
    """Leases by name, with fencing numbers that only increase."""

    def __init__(self, leases: dict[str, LeaseState] | None = None) -> None:
        self.leases = dict(leases or {})

    def get(self, name: str) -> LeaseState:
        """Return a lease; one that was never granted has fencing number 0."""
        empty = LeaseState(name=name, holder=None, fencing=0, duration_s=0.0, version=0)
        return self.leases.get(name, empty)

    def grant(self, command: GrantLease) -> LeaseAnswer:
        lease = self.get(command.name)
        if command.expected_version != lease.version:
            return LeaseAnswer(granted=False, lease=lease)
        return self._store(lease, command.holder, lease.fencing + 1, command.duration_s)

    def renew(self, command: RenewLease) -> LeaseAnswer:
        lease = self.get(command.name)
        if (lease.holder, lease.fencing) != (command.holder, command.fencing):
            return LeaseAnswer(granted=False, lease=lease)
        return self._store(lease, lease.holder, lease.fencing, lease.duration_s)

    def release(self, command: ReleaseLease) -> LeaseAnswer:
        lease = self.get(command.name)
        if (lease.holder, lease.fencing) != (command.holder, command.fencing):
            return LeaseAnswer(granted=False, lease=lease)
        return self._store(lease, None, lease.fencing, lease.duration_s)

    def _store(
        self, lease: LeaseState, holder: str | None, fencing: int, duration_s: float
    ) -> LeaseAnswer:
        changed = LeaseState(
            name=lease.name,
            holder=holder,
            fencing=fencing,
            duration_s=duration_s,
            version=lease.version + 1,
        )
        self.leases[lease.name] = changed
        return LeaseAnswer(granted=True, lease=changed)


class ViewTable:
    """Ledger views by region."""

    def __init__(self, views: dict[str, ViewState] | None = None) -> None:
        self.views = dict(views or {})

    def change(self, command: ChangeView) -> ViewAnswer:
        """Set the view if the epoch is the current one and the requester is in it."""
        current = self.views.get(command.region)
        wanted = ViewState(
            region=command.region,
            epoch=command.epoch + 1,
            primary=command.primary,
            backup=command.backup,
        )
        if current == wanted:
            # A resend after a lost answer.
            return ViewAnswer(accepted=True, view=current)
        reason = _find_refusal(command, current)
        if reason:
            return ViewAnswer(accepted=False, view=current, reason=reason)
        self.views[command.region] = wanted
        return ViewAnswer(accepted=True, view=wanted)


def _find_refusal(command: ChangeView, current: ViewState | None) -> str:
    epoch = current.epoch if current else 0
    if command.epoch != epoch:
        return f"the epoch is {epoch}"
    if command.primary == command.backup:
        return "primary and backup are the same host"
    if current and command.requester not in (current.primary, current.backup):
        return "the requester is not in the current view"
    return ""
