"""Tasks that run a member over datagrams."""

import time
from collections.abc import Callable

import curio

from buckthorndeal.errors import WireError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.membership._member import Membership
from buckthorndeal.membership._messages import MEMBERSHIP_MESSAGES, Outgoing
from buckthorndeal.membership._table import HostRecord
from buckthorndeal.supervision import spawn_loop
from buckthorndeal.transport import DatagramPort
from buckthorndeal.wire import create_codec, create_datagram_codec

LEAVE_REPEATS = 3
LEAVE_REPEAT_INTERVAL_S = 0.05


class MembershipService:
    """Runs the member of one host on a datagram port.

    Parameters
    ----------
    member : Membership
        Member of this host. Other tasks may only read its records.
    port : DatagramPort
        Bound port.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    changes : Mailbox or None
        Receives each changed `HostRecord`.
    get_wall_s : callable
        Returns the wall-clock time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        member: Membership,
        port: DatagramPort,
        keys: tuple[bytes, ...],
        changes: Mailbox | None,
        get_wall_s: Callable[[], float],
    ) -> None:
        self.member = member
        self._port = port
        codec = create_codec(MEMBERSHIP_MESSAGES)
        self._codec = create_datagram_codec(codec, keys, member.own.host)
        self._changes = changes
        self._get_wall_s = get_wall_s
        self._mailbox = create_mailbox()
        self._tasks: list[curio.Task] = []
        self.refused_count = 0

    async def start(self) -> None:
        """Start the task that owns the member and the task that reads datagrams."""
        self._tasks.append(await spawn_loop(self._run))
        self._tasks.append(await spawn_loop(self._read))

    async def drain(self) -> None:
        """Announce that this host is draining."""
        await self._mailbox.ask(self.member.drain)

    async def leave(self) -> None:
        """Announce that this host leaves, and stop."""
        for _ in range(LEAVE_REPEATS):
            await self._mailbox.ask(self.member.leave)
            await curio.sleep(LEAVE_REPEAT_INTERVAL_S)
        await self.close()

    async def close(self) -> None:
        """Stop without an announcement, as if the process had crashed."""
        for task in self._tasks:
            await task.cancel()
        await self._port.close()

    def list_records(self, states: tuple[str, ...] = ("alive",)) -> list[HostRecord]:
        """Return the records in `states`; see `Membership.list_records`."""
        return self.member.list_records(states)

    async def _run(self) -> None:
        while True:
            wait_s = self.member.next_due_s - time.monotonic()
            envelope = await self._mailbox.receive_within(wait_s)
            if envelope is None:
                await self._send_all(self.member.tick(time.monotonic()))
            elif callable(envelope.message):
                await self._send_all(envelope.message(time.monotonic()))
                await envelope.reply()
            else:
                await self._receive(*envelope.message)
            await self._report_changes()

    async def _read(self) -> None:
        while True:
            await self._mailbox.send(await self._port.recvfrom())

    async def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        now_s = time.monotonic()
        try:
            sender, message = self._codec.open(data, self._get_wall_s())
            address = format_address(*source)
            outgoing = self.member.receive(message, sender, address, now_s)
        except WireError as error:
            self.refused_count += 1
            log_event("datagram_refused", source=source[0], reason=str(error))
            return
        await self._send_all(outgoing)

    async def _send_all(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            data = self._codec.seal(item.message, self._get_wall_s())
            try:
                await self._port.sendto(data, *parse_address(item.address))
            except (ValueError, OverflowError) as error:
                # Records of hosts may hold any text as the address.
                log_event("address_refused", address=item.address, reason=str(error))

    async def _report_changes(self) -> None:
        for record in self.member.take_changes():
            log_event(
                "host_changed",
                subject=record.host,
                incarnation=record.incarnation,
                state=record.state,
            )
            if self._changes is not None:
                await self._changes.send(record)


def format_address(address: str, port: int) -> str:
    """Return ``address:port``, with brackets around an IPv6 address."""
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


def parse_address(text: str) -> tuple[str, int]:
    """Split ``address:port`` into the address, without brackets, and the port."""
    address, _, port = text.rpartition(":")
    return address.strip("[]"), int(port)


def create_membership_service(
    member: Membership,
    port: DatagramPort,
    keys: tuple[bytes, ...],
    changes: Mailbox | None = None,
    get_wall_s: Callable[[], float] = time.time,
) -> MembershipService:
    """Return a service that is not started yet; see `MembershipService`."""
    return MembershipService(member, port, keys, changes, get_wall_s)
