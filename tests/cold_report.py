"""What plays of cold endpoints have seen, and whether it is right."""

from collections import Counter
from dataclasses import dataclass, field

from tests.cold_hosts import COLD_PER_S

COLD_OVERAGE = 1.5
COLD_SLACK = 3
MAX_PER_S = COLD_OVERAGE * COLD_PER_S + COLD_SLACK
MIN_USED_SHARE = 0.5


@dataclass
class ColdReport:
    """What a play has seen.

    Parameters
    ----------
    most : dict of ColdCause to list of Arrival
        The most that one endpoint got within one second of cold times of a cause.
    used, usable : float
        Requests to cold endpoints, and those that the rate allowed.
    held : list of str
        Endpoints that were warm and were still taken for cold.
    checked : int
        How often that was looked at.
    unreachable : int
        Requests of hosts that no coordinator could tell.
    records, max_records : int
        Most records of one host, and their bound.
    """

    most: dict = field(default_factory=dict)
    used: int = 0
    usable: float = 0.0
    held: list = field(default_factory=list)
    checked: int = 0
    unreachable: int = 0
    records: int = 0
    max_records: int = 0

    def list_excesses(self):
        """Return the causes of cold times in which an endpoint got too much."""
        return [cause for cause, most in self.most.items() if len(most) > MAX_PER_S]

    def list_failures(self):
        """Return what is wrong, in words."""
        failures = [
            f"{len(self.most[cause])} requests in a second, {cause.value}"
            for cause in self.list_excesses()
        ]
        if self.used < MIN_USED_SHARE * self.usable:
            failures.append(f"{self.used} of {self.usable:.0f} cold requests used")
        if self.held:
            failures.append(f"held for cold {len(self.held)} times: {self.held[0]}")
        if self.records > self.max_records:
            failures.append(f"{self.records} records, {self.max_records} at most")
        return failures


def describe(play):
    """Return what is printed of a play."""
    report = play.report
    most = {cause.name: len(most) for cause, most in report.most.items()}
    lines = [
        f"{len(play.gateways)} gateways, seed {play.seed}: most {most}, "
        f"used {report.used} of {report.usable:.0f}, checked {report.checked}, "
        f"unreachable {report.unreachable}, records {report.records}"
    ]
    lines += [f"  FAILED {failure}" for failure in report.list_failures()]
    for cause in report.list_excesses():
        lines += _describe_senders(cause, report.most[cause])
    return "\n".join(lines)


def _describe_senders(cause, arrivals):
    """Return a line for each host that has sent in one second."""
    counts = Counter((each.host, each.knew, each.state) for each in arrivals)
    return [
        f"    {cause.name} from {arrivals[0].at_s:.2f} on: {count} of {host}, "
        f"{'cold' if knew else 'warm'} there, {state}"
        for (host, knew, state), count in counts.items()
    ]
