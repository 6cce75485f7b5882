"""Leases, ledger views, configuration and evacuations of the state machine."""

from buckthorndeal.ledger import LedgerView, ProposeView, is_view_change_allowed
from buckthorndeal.statemachine._messages import (
    ChangeView,
    ConfigurationAnswer,
    EvacuationAnswer,
    GrantLease,
    LeaseAnswer,
    LeaseState,
    PutConfiguration,
    ReleaseLease,
    RenewLease,
    SetEvacuation,
    ViewAnswer,
)


class LeaseTable:
    """Leases by name; the fencing token of a lease increases with each grant."""

    def __init__(self, leases: dict[str, LeaseState] | None = None) -> None:
        self.leases = dict(leases or {})

    def get(self, name: str) -> LeaseState:
        """Return a lease; one that was never granted has the fencing token 0."""
        never_granted = LeaseState(
            name=name, holder=None, fencing=0, duration_s=0.0, version=0
        )
        return self.leases.get(name, never_granted)

    def grant(self, command: GrantLease) -> LeaseAnswer:
        """Grant the lease with a new fencing token if it has the expected version."""
        lease = self.get(command.name)
        if command.expected_version != lease.version:
            return LeaseAnswer(granted=False, lease=lease)
        return self._store(lease, command.holder, lease.fencing + 1, command.duration_s)

    def renew(self, command: RenewLease) -> LeaseAnswer:
        """Renew the lease if holder and fencing token are the current ones."""
        lease = self.get(command.name)
        if (lease.holder, lease.fencing) != (command.holder, command.fencing):
            return LeaseAnswer(granted=False, lease=lease)
        return self._store(lease, lease.holder, lease.fencing, lease.duration_s)

    def release(self, command: ReleaseLease) -> LeaseAnswer:
        """Release the lease if holder and fencing token are the current ones."""
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

    def __init__(self, views: dict[str, LedgerView] | None = None) -> None:
        self.views = dict(views or {})

    def change(self, command: ChangeView) -> ViewAnswer:
        """Replace the view of a region if the ledger allows the change."""
        current = self.views.get(command.region, LedgerView())
        if current == command.view:
            # The command is a retry whose first answer was lost.
            return ViewAnswer(accepted=True, view=current)
        proposal = ProposeView(command.base, command.requester, command.view)
        if not is_view_change_allowed(current, proposal):
            return ViewAnswer(accepted=False, view=current)
        self.views[command.region] = command.view
        return ViewAnswer(accepted=True, view=command.view)


class ConfigurationRegister:
    """Configuration of the external operator; only a higher version replaces it."""

    def __init__(self, stored: PutConfiguration | None = None) -> None:
        self.stored = stored

    @property
    def version(self) -> int | None:
        """Version in force, or None if no configuration has been put."""
        return None if self.stored is None else self.stored.version

    def put(self, command: PutConfiguration) -> ConfigurationAnswer:
        """Store the configuration if its version is higher than the one in force."""
        current = self.version
        if current is not None and command.version <= current:
            return ConfigurationAnswer(version=current, changed=False)
        self.stored = command
        return ConfigurationAnswer(version=command.version, changed=True)


class EvacuationSet:
    """Failure domains whose endpoints receive no requests."""

    def __init__(self, evacuated: tuple[str, ...] = ()) -> None:
        self.evacuated = frozenset(evacuated)

    def set(self, command: SetEvacuation) -> EvacuationAnswer:
        """Start or end an evacuation; the command is idempotent."""
        domains = {command.failure_domain}
        if command.active:
            self.evacuated |= domains
        else:
            self.evacuated -= domains
        return EvacuationAnswer(evacuated=tuple(sorted(self.evacuated)))
