"""Tests of what a host knows of those that share endpoints and budgets with it."""

import unittest

from buckthorndeal.fleet import (
    EndpointRecord,
    EndpointState,
    EntryHost,
    EntryHostChanges,
    EntryState,
)
from buckthorndeal.gateway._entry_hosts import LIST_SETTLING_S, EntryHostLists
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._known_hosts import KnownEntryHosts, describe_fleet
from buckthorndeal.subsetting import choose_owner
from tests.warm_up_play import COLD_OVERAGE, COLD_SLACK, USED_SHARE

COLD_PER_S = 2.9
COORDINATORS = ("c1", "c2", "c3")
RECORD = EndpointRecord(
    "e0", 1, 1, "llm", "a", "a-1", "10.0.0.1:80", 64, EndpointState.READY
)


def create_host(number, state=EntryState.READY, region="a", reaches=True):
    name = f"h{number}"
    return EntryHost(name, region, f"{region}-1", f"{name}:1", state, reaches)


class KnownEntryHostsTest(unittest.TestCase):
    """A host counts until a majority of the coordinators knows that it is gone."""

    def setUp(self):
        self.now_s = 100.0
        self.own = create_host(0)
        self.hosts = tuple(create_host(number) for number in range(4))
        self.lists = EntryHostLists()
        self.known = KnownEntryHosts(self.lists)

    def list_all(self, coordinators=COORDINATORS, hosts=None):
        for coordinator in coordinators:
            self.lists.replace(coordinator, hosts or self.hosts, self.now_s)

    def describe(self):
        self.known.update(len(COORDINATORS), self.now_s)
        return describe_fleet(self.known, self.own, frozenset())

    def settle(self):
        self.list_all()
        self.describe()
        self.now_s += LIST_SETTLING_S
        return self.describe()

    def lose(self, coordinators=COORDINATORS):
        for coordinator in coordinators:
            self.lists.drop(coordinator)

    def test_hosts_are_kept_when_all_coordinators_are_lost(self):
        before = self.settle()
        self.lose()
        self.now_s += 60.0
        after = self.describe()
        self.assertEqual(after.region_hosts, before.region_hosts)
        self.assertEqual(after.total_hosts, 4)
        self.assertEqual(after.relay_hosts, before.relay_hosts)
        self.assertEqual(after.ready_hosts, ())
        self.assertEqual(self.known.get_age_s(self.now_s), 60.0)

    def test_coordinators_that_have_just_started_do_not_tell_who_is_gone(self):
        before = self.settle()
        self.lose()
        self.list_all(hosts=self.hosts[:1])
        self.assertEqual(self.describe().region_hosts, before.region_hosts)
        self.assertEqual(self.known.kept, ("h1", "h2", "h3"))
        self.now_s += LIST_SETTLING_S
        self.assertEqual(self.describe().region_hosts, ("h0",))

    def test_a_minority_of_the_coordinators_does_not_tell_who_is_gone(self):
        before = self.settle()
        self.lose(COORDINATORS[:2])
        self.lists.apply("c3", EntryHostChanges((), ("h2", "h3")))
        self.now_s += 60.0
        self.assertEqual(self.describe().region_hosts, before.region_hosts)

    def test_host_that_is_gone_counts_no_longer(self):
        self.settle()
        for coordinator in COORDINATORS:
            self.lists.apply(coordinator, EntryHostChanges((), ("h3",)))
        fleet = self.describe()
        self.assertEqual(fleet.region_hosts, ("h0", "h1", "h2"))
        self.assertEqual(fleet.total_hosts, 3)

    def test_host_that_joins_counts_at_once(self):
        self.settle()
        self.lose()
        self.list_all(COORDINATORS[:1], (create_host(9),))
        self.assertIn("h9", self.describe().region_hosts)

    def test_host_that_has_just_started_does_not_know_who_shares(self):
        self.list_all()
        self.assertFalse(self.describe().is_confirmed)
        self.assertTrue(self.settle().is_confirmed)

    def test_draining_host_leaves_endpoints_to_others_if_there_are_any(self):
        self.settle()
        self.own = create_host(0, EntryState.DRAINING)
        self.assertEqual(self.describe().region_hosts, ("h1", "h2", "h3"))
        for coordinator in COORDINATORS:
            gone = EntryHostChanges((), ("h1", "h2", "h3"))
            self.lists.apply(coordinator, gone)
        self.assertEqual(self.describe().region_hosts, ("h0",))

    def test_relays_are_listed_hosts_while_any_is(self):
        self.settle()
        self.lose()
        self.list_all(COORDINATORS[:1], self.hosts[:2])
        self.assertEqual(self.describe().relay_hosts, ("h1",))

    def test_share_of_a_limit_is_kept_while_cut_off(self):
        view = FleetView("h0")
        view.set_fleet(self.settle(), self.now_s)
        view.rate_shares.record_named(RECORD, 1.0, self.now_s)
        view.rate_shares.record_request(RECORD, self.now_s)
        before_s = view.rate_shares.get_wait_s(RECORD, self.now_s)
        self.lose()
        view.set_fleet(self.describe(), self.now_s)
        self.assertEqual(view.rate_shares.get_wait_s(RECORD, self.now_s), before_s)


class WarmUpsTest(unittest.TestCase):
    """A cold endpoint gets requests of one host, spaced out over all of them."""

    HOSTS = ("h0", "h1", "h2")
    RATE_PER_S = 2.0

    def setUp(self):
        self.warm_ups = {host: FleetView(host).warm_ups for host in self.HOSTS}
        for each in self.warm_ups.values():
            each.set_hosts(self.HOSTS, 0.0)

    def list_senders(self, now_s, hosts=HOSTS):
        return [
            host
            for host in hosts
            if self.warm_ups[host].may_send("e0", self.RATE_PER_S, now_s)
        ]

    def test_new_holder_begins_as_if_the_last_one_had_just_sent(self):
        (owner,) = self.list_senders(10.0)
        others = tuple(host for host in self.HOSTS if host != owner)
        for host in others:
            self.warm_ups[host].set_hosts(others, 20.0)
        self.assertEqual(self.list_senders(20.4, others), [])
        self.assertEqual(len(self.list_senders(20.5, others)), 1)

    def test_holder_that_stays_is_not_held_up_by_changes(self):
        (owner,) = self.list_senders(10.0)
        self.warm_ups[owner].set_hosts((owner,), 20.0)
        self.assertEqual(self.list_senders(20.1, (owner,)), [owner])

    def test_hosts_that_were_stopped_do_not_all_send(self):
        """Guards against several hosts that each still take themselves for the holder.

        Two were stopped in turn, and replaced; both go on before lists name them again.
        """
        self.RATE_PER_S = USED_SHARE * COLD_PER_S
        first, second, third = self.list_holders()
        self.warm_ups[second].set_hosts((second, third), 23.0)
        self.warm_ups[third].set_hosts((second, third), 23.0)
        self.warm_ups[third].set_hosts((third,), 26.0)
        for host in (first, second):
            self.warm_ups[host].record_stop(4.0, 30.0)
        sent = 0
        for step in range(100):
            now_s = 30.0 + step / 100
            for host in self.list_senders(now_s):
                self.warm_ups[host].record_request("e0", now_s)
                sent += 1
        self.assertLessEqual(sent, COLD_OVERAGE * COLD_PER_S + COLD_SLACK)
        self.assertEqual(self.list_senders(32.0, (first,)), [first])

    def list_holders(self):
        """Return the hosts in the order in which they take over."""
        left, holders = self.HOSTS, []
        while left:
            holders.append(choose_owner("e0", left))
            left = tuple(host for host in left if host not in holders)
        return holders

    def test_short_stop_holds_nothing_up(self):
        """Guards against a busy machine on which cold endpoints get nothing."""
        first = self.list_holders()[0]
        self.warm_ups[first].record_stop(0.6, 30.0)
        self.assertEqual(self.list_senders(30.0, (first,)), [first])

    def test_host_that_does_not_know_the_others_sends_nothing(self):
        view = FleetView("h0")
        self.assertFalse(view.warm_ups.may_send("e0", self.RATE_PER_S, 10.0))


if __name__ == "__main__":
    unittest.main()
