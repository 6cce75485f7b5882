"""Play of long streams while coordinators are killed and come back, or are replaced."""

from dataclasses import replace

from tests.version_play import STREAM, VersionPlay

# Number of coordinators, and the hosts and endpoints beside them.
SIZES = ((3, 4, 6), (5, 4, 6), (9, 24, 9), (15, 76, 18))
DOWN_S = (0.3, 1.0, 2.5)
# Coordinators are killed from this moment on; both versions serve by then.
KILL_S = 8.0
# Half of the hosts are killed so long after the last coordinator is back.
SETTLED_S = 6.0
# Share of the slots of all endpoints that are in use.
LOAD = 0.4


class CoreRestartPlay(VersionPlay):
    """Plays streams that outlast the loss of what coordinators keep in memory.

    Two versions serve all the time. Streams break because their host is killed.
    """

    events = 58
    event_s = 0.24
    break_share = 0.0
    slots = 24
    route = replace(STREAM, timeout_s=15.0)

    def __init__(self, coordinators, hosts, endpoints, seed):
        super().__init__(hosts, endpoints, seed, coordinators)
        for number in range(endpoints // 2):
            self.versions[number] = "v2"

    def kill_core(self, from_s, for_s):
        """Plan that all coordinators are killed at once; return when all are back."""
        for number in range(self.coordinator_count):
            self.kill_coordinator(number, from_s, for_s)
        return from_s + for_s

    def kill_core_slowly(self, from_s, for_s):
        """Plan a loss of all coordinators, of which some are slow to return."""
        back_s = from_s
        for number in range(self.coordinator_count):
            down_s = for_s + self.rng.choice((0.0, 0.5, 3.0))
            self.kill_coordinator(number, from_s, down_s)
            back_s = max(back_s, from_s + down_s)
        return back_s

    def restart_in_turn(self, from_s, for_s, gap_s=0.3):
        """Plan that coordinators are restarted one after the other."""
        at_s = from_s
        for number in range(self.coordinator_count):
            self.kill_coordinator(number, at_s, for_s)
            at_s += for_s + gap_s
        return at_s

    def replace_majority(self, from_s, for_s):
        """Plan that a majority comes back without its disks, one after the other."""
        at_s = from_s
        for number in range(self.coordinator_count // 2 + 1):
            self.kill_coordinator(number, at_s, for_s, disk_lost=True)
            at_s += for_s + 1.5
        return at_s

    def kill_hosts_after(self, back_s):
        """Plan the loss of half of the hosts, once the coordinators have settled."""
        at_s = self.now_s + back_s + SETTLED_S
        for host in self.hosts[: len(self.hosts) // 2]:
            host.kills.append((at_s, at_s + 3.0))

    def play_day(self, back_s):
        """Play until the streams that were broken have been taken up."""
        self.kill_hosts_after(back_s)
        per_s = LOAD * len(self.engines) * self.slots / (self.events * self.event_s)
        self.play_streams(back_s + SETTLED_S + 10.0, per_s)
