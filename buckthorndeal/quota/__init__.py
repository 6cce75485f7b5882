"""Quotas of workspaces over all hosts together; no I/O.

Answers load of a workspace beyond its contract: the leader of the coordinators divides
the units that a workspace may use among the hosts on which its callers arrive.
"""

from buckthorndeal.quota._demands import QuotaDemand
from buckthorndeal.quota._granter import QuotaGranter, create_quota_granter
from buckthorndeal.quota._lease import Charge
from buckthorndeal.quota._leases import (
    MAX_WAIT_S,
    QuotaLeases,
    QuotaState,
    QuotaWait,
    create_quota_leases,
)
from buckthorndeal.quota._options import (
    LEASE_S,
    QuotaOptions,
    QuotaPlan,
    create_plan,
    create_quota_options,
)

__all__ = [
    "LEASE_S",
    "MAX_WAIT_S",
    "Charge",
    "QuotaDemand",
    "QuotaGranter",
    "QuotaLeases",
    "QuotaOptions",
    "QuotaPlan",
    "QuotaState",
    "QuotaWait",
    "create_plan",
    "create_quota_granter",
    "create_quota_leases",
    "create_quota_options",
]
