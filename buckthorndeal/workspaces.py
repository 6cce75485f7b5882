"""Workspaces of a configuration: keys, priority, quota and home regions."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from buckthorndeal.keys import KeyTable, hash_key

__all__ = ["QuotaUnit", "Workspace", "WorkspaceTable", "create_workspace_table"]


class QuotaUnit(enum.Enum):
    """What the quota of a workspace counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Workspace:
    """Account of a customer whose callers share keys and a quota.

    Parameters
    ----------
    name : str
        Name under which endpoints know the workspace.
    keys : tuple of str
        Keys of its callers; left out of `repr`, which may end up in a log.
    priority : int or None
        0 is the most urgent; None for the priority of the route.
    unit : QuotaUnit
        Unit of the quota.
    default_tokens : int
        Tokens of a request that names no number, if the unit is tokens.
    rate_per_s : float
        Quota in units per second, over all hosts together; 0 for no limit.
    burst : float
        Units that may exceed the rate for a moment.
    home_regions : frozenset of str
        Regions that may process the requests; empty for all regions.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def is_limited(self) -> bool:
        """Whether the workspace has a quota."""
        return 0 < self.rate_per_s < math.inf

    def may_run_in(self, region: str) -> bool:
        """Return whether requests of this workspace may be processed in `region`."""
        return not self.home_regions or region in self.home_regions


class WorkspaceTable:
    """Finds workspaces by key and by name.

    Parameters
    ----------
    workspaces : iterable of Workspace
        Valid workspaces; no key belongs to two of them.
    """

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_name = {each.name: each for each in workspaces}
        self._keys = KeyTable(
            (hash_key(key), each)
            for each in self._by_name.values()
            for key in each.keys
        )

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def find_by_key(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self._keys.find(key)

    def find_by_name(self, name: str) -> Workspace | None:
        """Return the workspace with a name, or None."""
        return self._by_name.get(name)


def create_workspace_table(workspaces: Iterable[Workspace]) -> WorkspaceTable:
    """Create the table of the workspaces of a configuration."""
    return WorkspaceTable(workspaces)
