"""Seeded simulation of two ledgers, the holder of their view and an endpoint.

Callers, grant holders and the endpoint are simulated too. Faults are crashes, cut links
and messages that are lost, duplicated or delayed.
"""

import heapq
import itertools
import random
import sys
from dataclasses import dataclass, field

from buckthorndeal.ledger import (
    Abandon,
    AnswerRecorded,
    Claim,
    ClaimReply,
    HandOver,
    LedgerView,
    MarkDispatched,
    Outcome,
    Persist,
    Persisted,
    ProposeView,
    RecordAnswer,
    Release,
    SendTo,
    ViewLearned,
    create_ledger,
    is_view_change_allowed,
)
from buckthorndeal.ledger.claims import ClaimSnapshot

HOSTS = ("a", "b")
KEY_COUNT = 10
CLAIM_COUNT = 60
FAULT_COUNT = 16
HANDOVER_COUNT = 4
# Probability of a crash shortly after an effect. Such crashes find faults that crashes
# at random times miss.
CRASH_PROBABILITY = 0.006
SHORT_DELAY_S = 0.03
FAULTS_END_S = 20.0
RUN_END_S = 38.0
TICK_INTERVAL_S = 0.2
VIEW_POLL_INTERVAL_S = 2.5
MAX_CLOCK_DRIFT = 0.02
MAX_SLOW_DELAY_S = 6.0


class Violation(AssertionError):
    """An invariant of the ledger is violated."""


@dataclass
class Host:
    name: str
    clock_rate: float
    disk: list = field(default_factory=list)
    ledger: object = None
    process: int = 0


@dataclass
class Key:
    fingerprint: bytes
    runs: int = 0
    digest: bytes = b""
    answer: bytes = b""
    recorded: bool = False


class Simulation:
    """One simulated run with a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.tickets = itertools.count(1)
        self.view = LedgerView()
        self.cut_links = set()
        self.has_faults = True
        self.hosts = {
            name: Host(name, 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT))
            for name in HOSTS
        }
        self.keys = [Key(bytes([i]) * 16) for i in range(KEY_COUNT)]
        self.claims = {}
        self.answers = {}
        self.outcomes = {}
        self.final_tickets = []

    def schedule(self, delay_s, function, *args):
        event = (self.now_s + delay_s, next(self.sequence), function, args)
        heapq.heappush(self.events, event)

    def run(self):
        for name in HOSTS:
            self.start(name)
        for _ in range(CLAIM_COUNT):
            self.schedule(self.rng.uniform(1, FAULTS_END_S + 4), self.submit_random)
        for _ in range(FAULT_COUNT):
            self.schedule(self.rng.uniform(1.5, FAULTS_END_S), self.inject_fault)
        for _ in range(HANDOVER_COUNT):
            self.schedule(
                self.rng.uniform(1.5, FAULTS_END_S), self.hand_over_and_restart
            )
        self.schedule(FAULTS_END_S, self.end_faults)
        self.schedule(RUN_END_S - 6, self.submit_final_claims)
        while self.events and self.events[0][0] <= RUN_END_S:
            self.now_s, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.check_end()

    # Hosts

    def read_clock(self, host):
        return self.now_s * host.clock_rate + 5.0

    def start(self, name):
        host = self.hosts[name]
        if host.ledger is not None:
            return
        snapshot = ClaimSnapshot()
        for record in host.disk:
            snapshot.apply(record)
        host.process += 1
        now_s = self.read_clock(host)
        host.ledger = create_ledger(
            name, f"disk-{name}", "r", lambda _: "r", snapshot, self.rng, now_s, now_s
        )
        self.tick(name, host.process)
        self.poll_view(name, host.process)

    def crash(self, name):
        self.hosts[name].ledger = None

    def is_running(self, name, process):
        host = self.hosts[name]
        return host.ledger is not None and host.process == process

    def tick(self, name, process):
        if self.is_running(name, process):
            host = self.hosts[name]
            self.execute_effects(host, host.ledger.tick(self.read_clock(host)))
            self.schedule(TICK_INTERVAL_S, self.tick, name, process)

    def poll_view(self, name, process):
        if self.is_running(name, process):
            self.send(name, "authority", self.send_view, name)
            self.schedule(VIEW_POLL_INTERVAL_S, self.poll_view, name, process)

    def handle(self, name, process, message):
        if self.is_running(name, process):
            host = self.hosts[name]
            self.execute_effects(
                host, host.ledger.handle(message, self.read_clock(host))
            )

    def deliver(self, name, message, sender):
        host = self.hosts[name]
        if host.ledger is not None:
            now_s = self.read_clock(host)
            self.execute_effects(host, host.ledger.handle_peer(message, sender, now_s))

    def deliver_local(self, name, message):
        self.handle(name, self.hosts[name].process, message)

    def execute_effects(self, host, effects):
        for effect in effects:
            if self.has_faults and self.rng.random() < CRASH_PROBABILITY:
                delay_s = self.rng.uniform(0, SHORT_DELAY_S)
                self.schedule(delay_s, self.crash_and_restart, host.name)
            if isinstance(effect, Persist):
                delay_s = self.rng.uniform(0.001, 0.015)
                self.schedule(delay_s, self.persist, host.name, host.process, effect)
            elif isinstance(effect, SendTo):
                args = (effect.host, effect.message, host.name)
                self.send(host.name, effect.host, self.deliver, *args)
            elif isinstance(effect, ProposeView):
                self.send(
                    host.name, "authority", self.answer_proposal, host.name, effect
                )
            elif isinstance(effect, ClaimReply):
                self.check_reply(host, effect)
            elif isinstance(effect, AnswerRecorded):
                self.check_recorded(host, effect)

    def persist(self, name, process, effect):
        host = self.hosts[name]
        if self.is_running(name, process):
            host.disk += effect.records
            self.handle(name, process, Persisted(effect.batch))
        elif host.process == process and self.rng.random() < 0.5:
            # The write reached the disk, but the process crashed before it knew.
            host.disk += effect.records

    # Network, and the authority that holds the view

    def send(self, source, target, function, *args):
        if self.has_faults and self.rng.random() < 0.06:
            return
        copies = 2 if self.has_faults and self.rng.random() < 0.06 else 1
        for _ in range(copies):
            is_slow = self.has_faults and self.rng.random() < 0.08
            delay_s = self.rng.uniform(0.001, MAX_SLOW_DELAY_S if is_slow else 0.04)
            self.schedule(
                delay_s, self.deliver_if_connected, source, target, function, args
            )

    def deliver_if_connected(self, source, target, function, args):
        if frozenset((source, target)) not in self.cut_links:
            function(*args)

    def send_view(self, name):
        message = ViewLearned(self.view)
        self.send("authority", name, self.deliver_local, name, message)

    def answer_proposal(self, name, proposal):
        if is_view_change_allowed(self.view, proposal):
            self.view = proposal.view
        self.send_view(name)

    # Faults

    def inject_fault(self):
        if self.rng.random() < 0.5:
            self.crash_and_restart(self.rng.choice(HOSTS))
        else:
            ends = self.rng.sample((*HOSTS, "authority"), 2)
            link = frozenset(ends)
            self.cut_links.add(link)
            self.schedule(self.rng.choice((0.3, 2, 6)), self.cut_links.discard, link)

    def crash_and_restart(self, name):
        self.crash(name)
        self.schedule(self.rng.choice((SHORT_DELAY_S, 1, 4)), self.start, name)

    def hand_over_and_restart(self):
        """Let a host, usually the primary, hand over, and restart it soon after."""
        name = self.rng.choice(HOSTS)
        if self.view.primary and self.rng.random() < 0.8:
            name = self.view.primary.partition("#")[0]
        self.deliver_local(name, HandOver())
        self.schedule(
            self.rng.choice((SHORT_DELAY_S, 1, 2)), self.crash_and_restart, name
        )

    def end_faults(self):
        self.has_faults = False
        self.cut_links.clear()
        for name in HOSTS:
            self.start(name)

    # Callers, grant holders and the endpoint

    def submit_random(self):
        key = self.rng.choice(self.keys)
        body = b"other" if self.rng.random() < 0.05 else b"body"
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            self.schedule(self.rng.uniform(0, 1), self.submit_to_random_host, key, body)

    def submit_to_random_host(self, key, body):
        self.submit(self.rng.choice(HOSTS), key, body)

    def submit_final_claims(self):
        for name in HOSTS:
            key = Key(name.encode() * 16)
            self.keys.append(key)
            self.final_tickets.append(self.submit(name, key, b"body"))

    def submit(self, name, key, body):
        host = self.hosts[name]
        ticket = next(self.tickets)
        if host.ledger is not None:
            deadline_s = self.read_clock(host) + self.rng.uniform(0.5, 6)
            claim = Claim(ticket, key.fingerprint, body, f"r{ticket}", deadline_s)
            self.claims[ticket] = (key, body, deadline_s)
            self.handle(name, host.process, claim)
        return ticket

    def check_reply(self, host, reply):
        key, body, deadline_s = self.claims[reply.ticket]
        self.check(reply.ticket not in self.outcomes, "second reply", reply)
        self.outcomes[reply.ticket] = reply.outcome
        if reply.outcome is Outcome.GRANTED:
            self.hold_grant(host, key, body, reply.grant)
        elif reply.outcome is Outcome.NOT_RUN:
            self.check(key.runs == 0, "not_run although it ran", reply)
        elif reply.outcome is Outcome.ANSWERED:
            is_same = (key.runs, key.answer, key.digest) == (1, reply.body, body)
            self.check(is_same, "wrong answer", reply)
            # The reply at the deadline may hold an answer that is not committed.
            key.recorded |= self.read_clock(host) < deadline_s
        elif reply.outcome is Outcome.MAY_HAVE_RUN:
            is_owner = host.ledger.view == self.view
            self.check(not (key.recorded and is_owner), "lost answer", reply)

    def hold_grant(self, host, key, body, grant):
        """Hold a grant at this process or on another host, and dispatch soon after.

        Some holders on another host never dispatch.
        """
        process = host.process if self.rng.random() < 0.5 else None
        if process is None and self.rng.random() < 0.1:
            return
        delay_s = self.rng.uniform(0, 0.5)
        self.schedule(delay_s, self.dispatch, host.name, process, key, body, grant)

    def dispatch(self, name, process, key, body, grant):
        if process is not None and not self.is_running(name, process):
            return
        choice = self.rng.random()
        if choice < 0.1:
            self.deliver_local(name, Release(grant))
            return
        self.deliver_local(name, MarkDispatched(grant))
        key.runs += 1
        self.check(key.runs == 1, "ran twice", key)
        key.digest, key.answer = body, b"answer %d" % next(self.sequence)
        if choice < 0.2:
            self.deliver_local(name, Abandon(grant))
        elif choice < 0.9:
            delay_s = self.rng.uniform(0.01, 2)
            self.schedule(delay_s, self.record_answer, name, process, key, grant, 5)

    def record_answer(self, name, process, key, grant, retries):
        if process is not None and not self.is_running(name, process):
            return
        ticket = next(self.tickets)
        self.answers[ticket] = (process, key, grant, retries)
        self.deliver_local(name, RecordAnswer(ticket, grant, 200, key.answer))

    def check_recorded(self, host, recorded):
        _, key, grant, retries = self.answers[recorded.ticket]
        if recorded.stored:
            key.recorded = True
        elif retries and recorded.primary:
            name = recorded.primary.partition("#")[0]
            self.schedule(0.05, self.record_answer, name, None, key, grant, retries - 1)

    def check(self, condition, rule, detail):
        if not condition:
            raise Violation(f"{rule} at {self.now_s:.3f} s: {detail}")

    def check_end(self):
        outcomes = {self.outcomes.get(ticket) for ticket in self.final_tickets}
        expected = {Outcome.GRANTED, Outcome.NOT_OWNER}
        self.check(outcomes == expected, "new claims are not served", outcomes)
        self.check(self.view.backup is not None, "no backup at the end", self.view)


def run_seed(seed):
    """Run one seed; a violation is raised with the command that reproduces it."""
    try:
        Simulation(seed).run()
    except Violation as error:
        command = f"python -m tests._ledger_world {seed}"
        raise Violation(f"{error}\nreproduce with: {command}") from None


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        run_seed(int(argument))
