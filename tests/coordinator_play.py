"""Play of coordinators on simulated disks, with an operator that checks promises."""

import heapq
import random
import types

from buckthorndeal.consensus import (
    Membership,
    ReplicaId,
    ReplicaOptions,
    ToleratedLosses,
    create_elastic_policy,
    create_replica,
)
from buckthorndeal.consensus.logstore import create_disk_log_store
from buckthorndeal.coordinator import _daemon
from buckthorndeal.coordinator._replica import ReplicaTask
from buckthorndeal.coordinator._requests import (
    ChangeEvacuation,
    ReadConfiguration,
    StoreConfiguration,
)
from buckthorndeal.errors import NotLeaderError, StoreError
from buckthorndeal.metrics import create_metrics
from buckthorndeal.replication import ConsensusReceived
from buckthorndeal.statemachine import PutConfiguration, create_statemachine
from tests.simulated_files import SimulatedFiles, SimulatedKill

DOMAINS = ("a-1", "a-2", "b-1")
# A lost disk counts until all coordinators have run and been connected for this time.
CATCH_UP_S = 6.0
CALL_TIMEOUT_S = 0.9
SEEDS = 3


class BrokenPromiseError(AssertionError):
    """Something acknowledged is gone, or older than before."""


class PlayedMailbox:
    """Mailbox of a task that the play resumes by hand."""

    @types.coroutine
    def receive_within(self, delay_s):
        """Wait for the next envelope; None after `delay_s` seconds."""
        return (yield delay_s)


class PlayedEnvelope:
    """Message to a task, with functions for its reply and its failure."""

    def __init__(self, message, on_reply=None, on_failure=None):
        self.message = message
        self._on_reply = on_reply
        self._on_failure = on_failure

    async def reply(self, result=None):
        if self._on_reply is not None:
            self._on_reply(result)

    async def fail(self, error):
        if self._on_failure is not None:
            self._on_failure(error)


class PlayedCoordinator:
    """Coordinator that is up while it has a task."""

    def __init__(self, host):
        self.host = host
        self.store = None
        self.task = None
        self.running = None
        self.wakeup = 0
        self.created_s = 0.0
        self.removed = False
        # Until then the host is down.
        self.up_s = 0.0


class CoordinatorPlay:
    """Coordinators, their messages, and an operator; raises `BrokenPromiseError`.

    The replicas, their tasks and their stores are those of the program.

    Parameters
    ----------
    seed : int
        Chooses the deployment, the delays and the outcome of each unsynced write.
    """

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.files = SimulatedFiles(rng)
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.tolerance = rng.choice((1, 2))
        self.max_delay_s = rng.choice((0.01, 0.08))
        self.cut_hosts = frozenset()
        self.hosts = {}
        self.locations = {}
        self.join_hosts = []
        # Disks lost since the coordinators were last calm for long enough.
        self.lost_disks = 0
        self.calm_since_s = 0.0
        self.keeps_incarnation = False
        self.skips_opening_sync = False
        self.contents = {}
        self.acked_version = 0
        # Values that a domain may have, after the last acknowledged order.
        self.evacuations = {domain: {False} for domain in DOMAINS}
        self.acked_values = dict.fromkeys(DOMAINS, False)
        # Number of the order that a domain got last, and when it may be sent again.
        self.order_numbers = dict.fromkeys(DOMAINS, 0)
        self.order_due_s = dict.fromkeys(DOMAINS, 0.0)
        self.last_ack_hosts = ()
        self.order_sent_s = 0.0
        self.acks = 0
        self.accepts_orders = True

    # The simulated world

    def schedule(self, delay_s, action, *arguments):
        self.sequence += 1
        item = (self.now_s + delay_s, self.sequence, action, arguments)
        heapq.heappush(self.queue, item)

    def run_until(self, end_s, stop=lambda: False):
        while self.queue and self.queue[0][0] <= end_s and not stop():
            self.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        if not stop():
            self.now_s = end_s

    def run_for(self, duration_s):
        self.run_until(self.now_s + duration_s)

    def add_host(self, host):
        coordinator = self.hosts[host] = PlayedCoordinator(host)
        self.join_hosts.append(host)
        self.files.create_host(host)
        coordinator.created_s = self.now_s
        return coordinator

    def open_store(self, coordinator):
        rng = self.rng
        if self.keeps_incarnation and coordinator.store is not None:
            known = coordinator.store.incarnation
            rng = types.SimpleNamespace(getrandbits=lambda bits: known)
        skipped = self.files.skips_file_sync, self.files.skips_folder_sync
        if self.skips_opening_sync:
            self.files.skips_file_sync = self.files.skips_folder_sync = True
        try:
            return create_disk_log_store(f"/{coordinator.host}/log", rng)
        finally:
            self.files.skips_file_sync, self.files.skips_folder_sync = skipped

    def start(self, coordinator, voters=None):
        if coordinator.task is not None or coordinator.removed:
            return
        if self.now_s < coordinator.up_s:
            return
        self.disturb()
        try:
            coordinator.store = self.open_store(coordinator)
            membership = None
            if voters:
                membership = Membership(tuple(voters))
            replica = create_replica(
                ReplicaId(coordinator.host, coordinator.store.incarnation),
                coordinator.store,
                random.Random(self.rng.random()),
                ReplicaOptions(
                    election_timeout_s=_daemon.ELECTION_TIMEOUT_S,
                    heartbeat_interval_s=_daemon.HEARTBEAT_INTERVAL_S,
                    join_interval_s=_daemon.JOIN_INTERVAL_S,
                    join_hosts=self.join_hosts,
                ),
                membership,
                self.now_s,
            )
        except (StoreError, SimulatedKill):
            self.end(coordinator, 0.3)
            return

        async def send(host, frame):
            self.transmit(coordinator.host, host, frame)

        async def publish(state):
            del state

        task = ReplicaTask(
            replica,
            create_statemachine(),
            self.create_policy(coordinator),
            send,
            publish,
            lambda: self.now_s,
            create_metrics(),
            self.locations,
        )
        task.mailbox = PlayedMailbox()
        coordinator.task = task
        coordinator.running = task.run()
        self.resume(coordinator, None)

    def create_policy(self, coordinator):
        del coordinator
        return create_elastic_policy(SEEDS, ToleratedLosses(self.tolerance))

    def resume(self, coordinator, envelope):
        """Let the task handle an envelope, or its timers, until it waits again."""
        task = coordinator.task
        try:
            delay_s = coordinator.running.send(envelope)
        except (SimulatedKill, StoreError):
            self.end(coordinator, self.rng.uniform(0.1, 1.0))
            return
        coordinator.wakeup += 1
        delay_s = max(delay_s, 0.002) + 1e-6
        self.schedule(delay_s, self.wake, coordinator, task, coordinator.wakeup)

    def wake(self, coordinator, task, wakeup):
        if coordinator.task is task and coordinator.wakeup == wakeup:
            self.resume(coordinator, None)

    def end(self, coordinator, down_s):
        """End the process; its files stay as they are."""
        self.disturb()
        coordinator.task = coordinator.running = None
        self.files.operations_left.pop(coordinator.host, None)
        coordinator.up_s = max(coordinator.up_s, self.now_s + down_s)
        delay_s = coordinator.up_s - self.now_s + 1e-6
        self.schedule(delay_s, self.start, coordinator)

    def lose_power(self, coordinator, down_s):
        self.files.lose_power(coordinator.host)
        self.end(coordinator, down_s)

    def lose_disk(self, coordinator, down_s):
        self.files.create_host(coordinator.host)
        self.disturb()
        self.lost_disks += 1
        coordinator.created_s = self.now_s
        self.end(coordinator, down_s)

    def is_blocked(self, source, target):
        return (source in self.cut_hosts) != (target in self.cut_hosts)

    def transmit(self, source, target, frame):
        delay_s = self.rng.uniform(0.001, self.max_delay_s)
        self.schedule(delay_s, self.deliver, source, target, frame.data)

    def deliver(self, source, target, data):
        coordinator = self.hosts[target]
        if coordinator.task is not None and not self.is_blocked(source, target):
            self.resume(coordinator, PlayedEnvelope(ConsensusReceived(data, source)))

    # The operator

    def ask(self, message, on_reply, hosts=None):
        """Send a message to a host, which calls the leader if it does not lead."""
        running = [each for each in self.list_hosts() if each.task is not None]
        if not running:
            return
        first = self.rng.choice(running)
        first_task = first.task

        def pass_on(error):
            if not isinstance(error, NotLeaderError) or error.leader is None:
                return
            delay_s = self.rng.uniform(0.001, self.max_delay_s)
            self.schedule(delay_s, call_leader, error.leader)

        def call_leader(host):
            leader = self.hosts[host]
            if leader.task is None or self.is_blocked(first.host, host):
                return
            sent_s = self.now_s

            def answer(result):
                if first.task is first_task and self.now_s < sent_s + CALL_TIMEOUT_S:
                    on_reply(result, (host, first.host))

            def hear(result):
                if not self.is_blocked(first.host, host):
                    delay_s = self.rng.uniform(0.001, self.max_delay_s)
                    self.schedule(delay_s, answer, result)

            self.resume(leader, PlayedEnvelope(message, hear))

        def reply(result):
            on_reply(result, (first.host,))

        self.resume(first, PlayedEnvelope(message, reply, pass_on))

    def send_order(self):
        if self.accepts_orders:
            self.order_sent_s = self.now_s
            if self.rng.random() < 0.6:
                self.send_configuration()
            else:
                self.send_evacuation()
        self.read()
        self.schedule(self.rng.uniform(0.02, 0.6), self.send_order)

    def send_configuration(self):
        """Send a new version, or the newest one again."""
        version = max(self.contents, default=0)
        if not version or self.rng.random() < 0.7:
            version += self.rng.randrange(1, 4)
            size = self.rng.choice((10, 3000))
            self.contents[version] = self.rng.randbytes(size)
        command = PutConfiguration(version=version, content=self.contents[version])

        def acknowledge(answer, hosts):
            if answer is not None:
                self.acked_version = max(self.acked_version, version)
                self.record_ack(hosts)

        self.ask(StoreConfiguration(command), acknowledge)

    def send_evacuation(self):
        """Send an order until it is acknowledged, and only then the opposite one."""
        domain = self.rng.choice(DOMAINS)
        if self.now_s < self.order_due_s[domain]:
            return
        value = not self.acked_values[domain]
        number = self.order_numbers[domain]
        self.order_due_s[domain] = self.now_s + 1.0
        self.evacuations[domain].add(value)

        def acknowledge(answer, hosts):
            if answer is not None and number == self.order_numbers[domain]:
                self.order_numbers[domain] += 1
                self.order_due_s[domain] = self.now_s
                self.acked_values[domain] = value
                self.evacuations[domain] = {value}
                self.record_ack(hosts)

        self.ask(ChangeEvacuation(domain, value), acknowledge)

    def record_ack(self, hosts):
        self.last_ack_hosts = hosts
        self.acks += 1

    def read(self):
        acked = self.acked_version

        def check(stored, hosts):
            version = stored.version if stored else 0
            if version < acked:
                raise BrokenPromiseError(f"{hosts} read {version} after {acked}")
            if stored and stored.content != self.contents[version]:
                raise BrokenPromiseError(f"version {version} has other content")

        self.ask(ReadConfiguration(True), check)

    def list_hosts(self):
        return [each for each in self.hosts.values() if not each.removed]

    def find_leader(self):
        """Return the coordinator that may answer reads, or None."""
        for each in self.list_hosts():
            if each.task is not None and each.task._has_lease():
                return each
        return None

    def disturb(self):
        """Note that the coordinators are not calm now."""
        self.lost_disks = self.count_lost_disks()
        self.calm_since_s = self.now_s

    def count_lost_disks(self):
        all_run = all(each.task is not None for each in self.list_hosts())
        calm = all_run and not self.cut_hosts
        if calm and self.now_s >= self.calm_since_s + CATCH_UP_S:
            return 0
        return self.lost_disks

    def check_state(self, task):
        """Check the state of a task that may answer reads."""
        stored = task._machine.configuration
        version = stored.version if stored else 0
        if version < self.acked_version:
            raise BrokenPromiseError(f"{version} in place of {self.acked_version}")
        for domain, allowed in self.evacuations.items():
            if (domain in task._machine.evacuated) not in allowed:
                raise BrokenPromiseError(f"evacuation of {domain} is {not allowed}")
