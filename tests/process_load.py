"""Load of the process tests: callers that resend bookings with the same key."""

import collections
import random
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.errors import RequestError, Verdict
from tests.process_harness import ENTRY_REGIONS, SLOW_PATH

SLOW_BOOKINGS_PER_HOST = 2
CALLERS = 8
BOOKINGS_PER_CALLER = 400
BOOKING_PAUSE_S = 0.01
MAX_ATTEMPTS = 60
RESEND_PAUSE_S = 0.1


@dataclass
class Booking:
    """A booking that a caller sends under one key, and the outcome of its attempts.

    `failed_attempts` has host and outcome of each attempt without an answer; the
    outcomes are those of `LoadGenerator`.
    """

    key: str
    workspace: str
    path: str = "/book"
    failed_attempts: list = field(default_factory=list)
    answer: tuple | None = None

    @property
    def is_not_run(self):
        """Whether the system reported for every attempt that it did not run."""
        outcomes = {outcome for _, outcome in self.failed_attempts}
        return self.answer is None and outcomes == {"not_run"}


class LoadGenerator:
    """Callers that send bookings and lookups through several hosts.

    A booking without an answer is resent with its key. `hosts` may be changed while
    the callers are running.
    """

    def __init__(self, deployment, seed, hosts=tuple(ENTRY_REGIONS)):
        self.deployment = deployment
        self.hosts = list(hosts)
        self.bookings = []
        self.lookups = collections.Counter()
        self._seed = seed
        self._stopping = False
        self._tasks = []

    async def start(self):
        for number in range(CALLERS):
            rng = random.Random(f"{self._seed}-{number}")
            self._tasks.append(await curio.spawn(self._run_caller, number, rng))

    async def cancel(self):
        """Cancel the tasks that a failed test left running."""
        for task in self._tasks:
            await task.cancel()

    async def stop(self):
        """Let the callers finish their bookings."""
        self._stopping = True
        for task in self._tasks:
            await task.join()

    async def start_slow(self, host):
        """Start slow bookings of a workspace of r1, first through `host`."""
        bookings = []
        for _ in range(SLOW_BOOKINGS_PER_HOST):
            key = f"{self._seed}-slow-{len(self.bookings)}"
            booking = Booking(key, "w1", SLOW_PATH)
            bookings.append(booking)
            self.bookings.append(booking)
            rng = random.Random(key)
            task = await curio.spawn(self._book, booking, rng, False, host)
            self._tasks.append(task)
        return bookings

    async def start_slow_everywhere(self):
        """Start slow bookings through all hosts, and wait until they run."""
        bookings = []
        for host in self.hosts:
            bookings += await self.start_slow(host)
        await self.deployment.wait_until(
            lambda: all(self.deployment.executions[each.key] for each in bookings),
            "the slow bookings are running",
        )
        return bookings

    @property
    def answered(self):
        return [each for each in self.bookings if each.answer is not None]

    async def wait_for_answers(self, count=30):
        """Wait until `count` more bookings are answered."""
        expected = len(self.answered) + count
        await self.deployment.wait_until(
            lambda: len(self.answered) >= expected, f"{expected} answered bookings"
        )

    async def _run_caller(self, number, rng):
        for index in range(BOOKINGS_PER_CALLER):
            if self._stopping:
                return
            workspace = rng.choice(("w1", "w1", "w2", "w3"))
            booking = Booking(f"{self._seed}-{number}-{index}", workspace)
            self.bookings.append(booking)
            await self._book(booking, rng, gives_up=rng.random() < 0.5)
            await self._look_up(rng)
            await curio.sleep(BOOKING_PAUSE_S)

    async def _look_up(self, rng):
        host = rng.choice(self.hosts)
        try:
            status, _ = await self.deployment.look_up(host, rng.choice(("w1", "w2")))
        except RequestError as error:
            status = error.verdict.value
        self.lookups[(host, status)] += 1

    async def _book(self, booking, rng, gives_up, first_host=None):
        verdicts = 0
        for number in range(MAX_ATTEMPTS):
            host = first_host if number == 0 and first_host else rng.choice(self.hosts)
            outcome = await self._send(booking, host)
            if outcome == "answered":
                return
            booking.failed_attempts.append((host, outcome))
            verdicts += outcome in ("not_run", "may_have_run")
            # Half of the callers do not resend after the verdict `not_run`.
            if outcome == "not_run" and gives_up:
                return
            if outcome == "may_have_run" and verdicts > 3:
                return
            await curio.sleep(RESEND_PAUSE_S)

    async def _send(self, booking, host):
        """Send the booking once and return its outcome.

        `answered` is a response with status 200. For a failed exchange, `unsent` says
        that nothing was sent, `broken` that something may have been sent, and
        `timed_out` that the connection was still open. Any other outcome is the verdict
        in the system's error response.
        """
        try:
            status, data = await self.deployment.book(
                host, booking.workspace, booking.key, booking.path
            )
        except RequestError as error:
            if error.code == "timeout":
                return "timed_out"
            return "unsent" if error.verdict is Verdict.NOT_RUN else "broken"
        body = msgspec.json.decode(data)
        if status == 200:
            booking.answer = (status, body)
            return "answered"
        return body["error"]["verdict"]
