"""Drains gateways in turn while callers send one order after the other.

By hand: ``python -m tests.drain_play FIRST_SEED COUNT``.
"""

import sys
import time
from dataclasses import dataclass

import curio

from tests.play_command import parse_seeds, play_all
from tests.stop_play import DRAIN, StopOptions, StopPlay, describe

CALLERS = 60
WORK_S = (0.02, 0.3, 0.7)
STREAMS = 0.8
# Time in which a caller may send as the host closes its connection.
LOSS_SLACK_S = 0.2
RETRY_S = 0.05
SETTLE_S = 0.5


@dataclass
class DrainPlay(StopPlay):
    """A play in which each host is stopped and started again, one after the other.

    The answers of streams come in pieces, and callers send the next order as soon as
    one is answered, on the same connection unless the answer announced its end.
    """

    is_over: bool = False

    def list_unanswered(self):
        """Return the orders that were read and ended without a complete answer.

        On a kept connection each order counts that did not cross its close.
        """
        return [
            order
            for order in self.orders
            if order.status is None
            and not self.is_excused(order)
            and (self.runs[order.order_id] or not self._may_have_crossed(order))
        ]

    def count_reused(self):
        """Return the number of orders on connections that had carried another."""
        return sum(order.idle_s is not None for order in self.orders)

    def _may_have_crossed(self, order):
        """Return whether an order was sent while its host closed its connections.

        A host accepts no new connection after its notice.
        """
        if order.ended_s - order.sent_s > LOSS_SLACK_S:
            return False
        if order.idle_s is None:
            return self.get_signal_age_s(order) >= DRAIN["drain_notice_s"]
        exited_s = self.exited_s.get(order.host, 0.0)
        return 0.0 <= exited_s - order.sent_s <= LOSS_SLACK_S

    async def _stop_hosts(self):
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(self._call, number)
            await group.spawn(self._drain_in_turn)
        for error in group.exceptions:
            if not isinstance(error, (curio.CancelledError, type(None))):
                raise error

    async def _drain_in_turn(self):
        try:
            for host in self.hosts:
                await curio.sleep(SETTLE_S)
                await self._stop_host(host, time.monotonic())
                self._start_process("gateway", host)
                await self._wait_until_served(host)
        finally:
            self.is_over = True

    async def _call(self, number):
        while not self.is_over:
            host = self.hosts[number % len(self.hosts)]
            try:
                stream = await self._open(host)
            except OSError:
                number += 1
                await curio.sleep(RETRY_S)
                continue
            await self._use_connection(host, stream)
            await stream.close()

    async def _use_connection(self, host, stream):
        last = None
        while not self.is_over:
            order = self._create_order(host, self.rng.choice(WORK_S))
            order.is_stream = self.rng.random() < STREAMS
            if last is not None:
                order.idle_s = time.monotonic() - last.ended_s
            await self._send_on(stream, order)
            if order.status is None or order.ends_connection:
                return
            last = order


def describe_drains(play):
    """Return one line on the end of a play."""
    unanswered = [
        f"{order.order_id} sent {play.get_signal_age_s(order):.3f} s after the signal, "
        f"{order.failure} after {order.ended_s - order.sent_s:.3f} s, "
        f"runs {play.runs[order.order_id]}, idle {order.idle_s}"
        for order in play.list_unanswered()
    ]
    crossed = sum(order.status is None for order in play.orders) - len(unanswered)
    return (
        f"{describe(play)}; {play.count_reused()} on kept connections, {crossed} "
        f"crossed or excused, {len(unanswered)} unanswered: {unanswered[:5]}"
    )


def main():
    """Play the seeds named on the command line."""
    seeds, _ = parse_seeds(sys.argv[1:])
    plays = (DrainPlay(f"drain-{seed}", StopOptions()) for seed in seeds)
    play_all(plays, describe_drains)


if __name__ == "__main__":
    main()
