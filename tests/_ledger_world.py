"""Two ledgers, an authority for views, holders and an endpoint under faults."""

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
KEYS = 10
CLAIMS = 60
FAULTS = 16
HANDOVERS = 4
# Crashes within a few milliseconds of an effect find what random times miss.
CRASH_AFTER_EFFECT = 0.006
SHORT_S = 0.03
FAULTS_END_S = 20.0
CALM_END_S = 38.0
TICK_S = 0.2
POLL_S = 2.5
DRIFT = 0.02
SLOW_S = 6.0


class Violation(AssertionError):
    """A rule of the ledger is broken."""


@dataclass
class Host:
    name: str
    rate: float
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


class World:
    """One seeded run."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.events = []
        self.order = itertools.count()
        self.tickets = itertools.count(1)
        self.view = LedgerView()
        self.cuts = set()
        self.lossy = True
        self.hosts = {
            name: Host(name, 1 + self.rng.uniform(-DRIFT, DRIFT)) for name in HOSTS
        }
        self.keys = [Key(bytes([i]) * 16) for i in range(KEYS)]
        self.claims = {}
        self.answers = {}
        self.outcomes = {}
        self.calm_replies = []

    def after(self, delay_s, function, *args):
        event = (self.now_s + delay_s, next(self.order), function, args)
        heapq.heappush(self.events, event)

    def run(self):
        for name in HOSTS:
            self.start(name)
        for _ in range(CLAIMS):
            self.after(self.rng.uniform(1, FAULTS_END_S + 4), self.submit_random)
        for _ in range(FAULTS):
            self.after(self.rng.uniform(1.5, FAULTS_END_S), self.fail)
        for _ in range(HANDOVERS):
            self.after(self.rng.uniform(1.5, FAULTS_END_S), self.drain)
        self.after(FAULTS_END_S, self.calm)
        self.after(CALM_END_S - 6, self.submit_last)
        while self.events and self.events[0][0] <= CALM_END_S:
            self.now_s, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.check_end()

    # Hosts

    def clock(self, host):
        return self.now_s * host.rate + 5.0

    def start(self, name):
        host = self.hosts[name]
        if host.ledger is not None:
            return
        snapshot = ClaimSnapshot()
        for record in host.disk:
            snapshot.apply(record)
        host.process += 1
        now_s = self.clock(host)
        host.ledger = create_ledger(
            name, f"disk-{name}", "r", lambda _: "r", snapshot, self.rng, now_s, now_s
        )
        self.tick(name, host.process)
        self.poll(name, host.process)

    def crash(self, name):
        self.hosts[name].ledger = None

    def is_running(self, name, process):
        host = self.hosts[name]
        return host.ledger is not None and host.process == process

    def tick(self, name, process):
        if self.is_running(name, process):
            host = self.hosts[name]
            self.carry_out(host, host.ledger.tick(self.clock(host)))
            self.after(TICK_S, self.tick, name, process)

    def poll(self, name, process):
        if self.is_running(name, process):
            self.send(name, "authority", self.answer_poll, name)
            self.after(POLL_S, self.poll, name, process)

    def handle(self, name, process, message):
        if self.is_running(name, process):
            host = self.hosts[name]
            self.carry_out(host, host.ledger.handle(message, self.clock(host)))

    def deliver(self, name, message, sender):
        host = self.hosts[name]
        if host.ledger is not None:
            now_s = self.clock(host)
            self.carry_out(host, host.ledger.handle_peer(message, sender, now_s))

    def deliver_local(self, name, message):
        self.handle(name, self.hosts[name].process, message)

    def carry_out(self, host, effects):
        for effect in effects:
            if self.lossy and self.rng.random() < CRASH_AFTER_EFFECT:
                delay_s = self.rng.uniform(0, SHORT_S)
                self.after(delay_s, self.crash_and_return, host.name)
            if isinstance(effect, Persist):
                delay_s = self.rng.uniform(0.001, 0.015)
                self.after(delay_s, self.persist, host.name, host.process, effect)
            elif isinstance(effect, SendTo):
                args = (effect.host, effect.message, host.name)
                self.send(host.name, effect.host, self.deliver, *args)
            elif isinstance(effect, ProposeView):
                self.send(host.name, "authority", self.answer_ask, host.name, effect)
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
            # The write reached the disk, but the process did not learn of it.
            host.disk += effect.records

    # Network and authority

    def send(self, source, target, function, *args):
        if self.lossy and self.rng.random() < 0.06:
            return
        copies = 2 if self.lossy and self.rng.random() < 0.06 else 1
        for _ in range(copies):
            slow = self.lossy and self.rng.random() < 0.08
            delay_s = self.rng.uniform(0.001, SLOW_S if slow else 0.04)
            self.after(delay_s, self.arrive, source, target, function, args)

    def arrive(self, source, target, function, args):
        if frozenset((source, target)) not in self.cuts:
            function(*args)

    def answer_poll(self, name):
        message = ViewLearned(self.view)
        self.send("authority", name, self.deliver_local, name, message)

    def answer_ask(self, name, ask):
        if is_view_change_allowed(self.view, ask):
            self.view = ask.view
        self.answer_poll(name)

    # Faults

    def fail(self):
        if self.rng.random() < 0.5:
            self.crash_and_return(self.rng.choice(HOSTS))
        else:
            ends = self.rng.sample((*HOSTS, "authority"), 2)
            link = frozenset(ends)
            self.cuts.add(link)
            self.after(self.rng.choice((0.3, 2, 6)), self.cuts.discard, link)

    def crash_and_return(self, name):
        self.crash(name)
        self.after(self.rng.choice((SHORT_S, 1, 4)), self.start, name)

    def drain(self):
        """Drain a host, the primary as a rule, and restart it soon after."""
        name = self.rng.choice(HOSTS)
        if self.view.primary and self.rng.random() < 0.8:
            name = self.view.primary.partition("#")[0]
        self.deliver_local(name, HandOver())
        self.after(self.rng.choice((SHORT_S, 1, 2)), self.crash_and_return, name)

    def calm(self):
        self.lossy = False
        self.cuts.clear()
        for name in HOSTS:
            self.start(name)

    # Callers, holders and the endpoint

    def submit_random(self):
        key = self.rng.choice(self.keys)
        body = b"other" if self.rng.random() < 0.05 else b"body"
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            self.after(self.rng.uniform(0, 1), self.submit_any, key, body)

    def submit_any(self, key, body):
        self.submit(self.rng.choice(HOSTS), key, body)

    def submit_last(self):
        for name in HOSTS:
            key = Key(name.encode() * 16)
            self.keys.append(key)
            self.calm_replies.append(self.submit(name, key, b"body"))

    def submit(self, name, key, body):
        host = self.hosts[name]
        ticket = next(self.tickets)
        if host.ledger is not None:
            deadline_s = self.clock(host) + self.rng.uniform(0.5, 6)
            claim = Claim(ticket, key.fingerprint, body, f"r{ticket}", deadline_s)
            self.claims[ticket] = (key, body, deadline_s)
            self.handle(name, host.process, claim)
        return ticket

    def check_reply(self, host, reply):
        key, body, deadline_s = self.claims[reply.ticket]
        self.expect(reply.ticket not in self.outcomes, "second reply", reply)
        self.outcomes[reply.ticket] = reply.outcome
        if reply.outcome is Outcome.GRANTED:
            self.hold(host, key, body, reply.grant)
        elif reply.outcome is Outcome.NOT_RUN:
            self.expect(key.runs == 0, "not_run although it ran", reply)
        elif reply.outcome is Outcome.ANSWERED:
            same = (key.runs, key.answer, key.digest) == (1, reply.body, body)
            self.expect(same, "wrong answer", reply)
            # An answer given at the deadline may not be committed.
            key.recorded |= self.clock(host) < deadline_s
        elif reply.outcome is Outcome.MAY_HAVE_RUN:
            is_owner = host.ledger.view == self.view
            self.expect(not (key.recorded and is_owner), "lost answer", reply)

    def hold(self, host, key, body, grant):
        """Hold a grant at this process or elsewhere, and dispatch soon."""
        process = host.process if self.rng.random() < 0.5 else None
        if process is None and self.rng.random() < 0.1:
            return
        delay_s = self.rng.uniform(0, 0.5)
        self.after(delay_s, self.dispatch, host.name, process, key, body, grant)

    def dispatch(self, name, process, key, body, grant):
        if process is not None and not self.is_running(name, process):
            return
        choice = self.rng.random()
        if choice < 0.1:
            self.deliver_local(name, Release(grant))
            return
        self.deliver_local(name, MarkDispatched(grant))
        key.runs += 1
        self.expect(key.runs == 1, "ran twice", key)
        key.digest, key.answer = body, b"answer %d" % next(self.order)
        if choice < 0.2:
            self.deliver_local(name, Abandon(grant))
        elif choice < 0.9:
            delay_s = self.rng.uniform(0.01, 2)
            self.after(delay_s, self.record, name, process, key, grant, 5)

    def record(self, name, process, key, grant, tries):
        if process is not None and not self.is_running(name, process):
            return
        ticket = next(self.tickets)
        self.answers[ticket] = (process, key, grant, tries)
        self.deliver_local(name, RecordAnswer(ticket, grant, 200, key.answer))

    def check_recorded(self, host, recorded):
        _, key, grant, tries = self.answers[recorded.ticket]
        if recorded.stored:
            key.recorded = True
        elif tries and recorded.primary:
            name = recorded.primary.partition("#")[0]
            self.after(0.05, self.record, name, None, key, grant, tries - 1)

    def expect(self, condition, rule, detail):
        if not condition:
            raise Violation(f"{rule} at {self.now_s:.3f} s: {detail}")

    def check_end(self):
        outcomes = {self.outcomes.get(ticket) for ticket in self.calm_replies}
        served = {Outcome.GRANTED, Outcome.NOT_OWNER}
        self.expect(outcomes == served, "new claims are not served", outcomes)
        self.expect(self.view.backup is not None, "no backup at the end", self.view)


def run_seed(seed):
    """Run one seed; a broken rule raises with the command that repeats it."""
    try:
        World(seed).run()
    except Violation as error:
        command = f"python -m tests._ledger_world {seed}"
        raise Violation(f"{error}\nreproduce with: {command}") from None


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        run_seed(int(argument))
