"""One replica of the ledger: views, leases and the copying of entries."""

import functools
import random
from collections.abc import Callable

from absl import logging

from buckthorndeal.ledger._claim_records import (
    ClaimEntry,
    ClaimSnapshot,
    Fingerprints,
    LedgerView,
    ViewRecord,
)
from buckthorndeal.ledger._copier import Copier
from buckthorndeal.ledger._messages import (
    ClaimsCopied,
    CopyClaims,
    CopyRefused,
    Effect,
    FetchClaims,
    HandoverAccepted,
    HostLost,
    OfferHandover,
    ProposeView,
    SendTo,
    TakeOver,
    ViewLearned,
    get_replica_host,
)
from buckthorndeal.ledger._options import LedgerOptions
from buckthorndeal.ledger._writer import Writer
from buckthorndeal.wire import Message


class Replica:
    """Keeps the entries on one host and, as the primary, on its backup.

    The rules that keep a key from running twice:

    * A primary commits an entry when it is synced here and, if the view has a
      backup, synced there.
    * A primary that has asked for a view with a new backup needs that backup from
      then on, also after a restart, because the view may be in force already.
    * A primary that has told its backup to take over is not confirmed until it
      learns a newer view, because the backup may lead already.
    * A replica that knows a newer view refuses the entries of an older one. The
      view is synced before anything is committed under it.

    Parameters
    ----------
    replica : str
        ``<host>#<store identity>``.
    region : str
        Region of this host. Entries are only exchanged within it.
    get_region : callable
        Returns the region of a host, or None if it is unknown.
    snapshot : ClaimSnapshot
        Content of the store.
    rng : random.Random
        Source of batch numbers.
    now_s : float
        Monotonic time in seconds.
    options : LedgerOptions
        Times.
    """

    def __init__(
        self,
        replica: str,
        region: str,
        get_region: Callable[[str], str | None],
        snapshot: ClaimSnapshot,
        rng: random.Random,
        now_s: float,
        options: LedgerOptions,
    ) -> None:
        self.replica = replica
        self.view = snapshot.record.view
        self.asked = snapshot.record.asked
        self._region = region
        self._get_region = get_region
        self._options = options
        self._snapshot = snapshot
        self._writer = Writer()
        self._copier = Copier(snapshot, replica, rng)
        self._out: list[Effect] = []
        self._joining: str | None = None
        self._heard_s = now_s
        self._asked_s = now_s
        self._fetched_s = float("-inf")
        self._lease_end_s = float("-inf")
        self._rng = rng
        self._token: int | None = None
        self._gave_up_lease = False
        self._is_leaving = False
        self._handover_end_s = float("-inf")
        self._retarget()

    @property
    def is_primary(self) -> bool:
        """Whether this replica leads the newest view it knows."""
        return self.view.primary == self.replica

    @property
    def required(self) -> str | None:
        """Replica whose acknowledgement is needed to commit."""
        if self.view.backup is not None or self.asked is None:
            return self.view.backup
        return self.asked.backup

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether no other replica can lead a newer view at `now_s`."""
        if not self.is_primary:
            return False
        if self.required is None:
            return True
        return not self._gave_up_lease and now_s < self._lease_end_s

    def is_committed(self, fingerprint: bytes) -> bool:
        """Return whether the newest entry of a key is durable as the view demands."""
        if not self._writer.is_synced(fingerprint):
            return False
        if self.required is None:
            return True
        is_target = self._copier.target == self.required
        return is_target and self._copier.is_copied(fingerprint)

    def store(self, entry: ClaimEntry) -> None:
        """Keep an entry and send it on its way."""
        self._snapshot.entries[entry.fingerprint] = entry
        self._writer.add(entry)
        self._copier.add(entry.fingerprint)

    def receive(self, message: Message, host: str, now_s: float) -> None:
        """Handle a message of another host of the region."""
        if self._get_region(host) != self._region:
            logging.error("ledger message from %s outside of %s", host, self._region)
            return
        sender = getattr(message, "sender", None)
        if sender is None or get_replica_host(sender) == host:
            self._handle_peer(message, host, now_s)

    @functools.singledispatchmethod
    def _handle_peer(self, message: Message, host: str, now_s: float) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle_peer.register
    def _(self, message: CopyClaims, host: str, now_s: float) -> None:
        self.learn(message.view, now_s)
        is_current = message.view.epoch == self.view.epoch
        if not is_current or message.sender != self.view.primary:
            self._out.append(SendTo(host, CopyRefused(self.view)))
            return
        self._heard_s = now_s
        self._token = None
        if self._is_fenced(now_s):
            self._out.append(SendTo(host, CopyRefused(self.view)))
            return
        self._merge(message)
        copied = ClaimsCopied(self.replica, message.batch, self.asked is None)
        self._out += self._writer.emit_after_sync(SendTo(host, copied))

    def _is_fenced(self, now_s: float) -> bool:
        """Return whether a request to take over may be decided at any moment.

        Acknowledging later on is safe, because a new primary starts with all that
        it acknowledged. It keeps an isolated region booking after its backup has
        asked in vain. Such acknowledgements do not confirm the primary.
        """
        asked_recently = now_s - self._asked_s < self._options.resume_s
        return self.asked is not None and asked_recently

    def _merge(self, message: CopyClaims) -> None:
        entries = self._snapshot.entries
        for entry in message.entries:
            known = entries.get(entry.fingerprint)
            if entry.fingerprint in self._snapshot.expired:
                continue
            if known is None or known.version < entry.version:
                entries[entry.fingerprint] = entry
                self._writer.add(entry)
        if message.fingerprints:
            self._snapshot.expired.add_packed(message.fingerprints)
            self._writer.add(Fingerprints(message.fingerprints))

    @_handle_peer.register
    def _(self, message: ClaimsCopied, host: str, now_s: float) -> None:
        if message.sender != self._copier.target:
            return
        finished = self._copier.finish(message.batch)
        if finished is None:
            return
        sent_s, copied = finished
        if message.confirms and message.sender == self.required:
            lease_end_s = sent_s + self._options.lease_s
            self._lease_end_s = max(self._lease_end_s, lease_end_s)
        self.settle(copied, now_s)

    @_handle_peer.register
    def _(self, message: CopyRefused, host: str, now_s: float) -> None:
        self.learn(message.view, now_s)

    @_handle_peer.register
    def _(self, message: OfferHandover, host: str, now_s: float) -> None:
        if self._is_offer_valid(message):
            self._token = self._rng.getrandbits(48)
            accepted = HandoverAccepted(self.view, self.replica, self._token)
            self._out.append(SendTo(host, accepted))

    @_handle_peer.register
    def _(self, message: HandoverAccepted, host: str, now_s: float) -> None:
        is_current = (message.view, message.sender) == (self.view, self.view.backup)
        if is_current and self.asked is None and self.is_handing_over(now_s):
            self._gave_up_lease = True
            take_over = TakeOver(self.view, self.replica, message.token)
            self._out.append(SendTo(host, take_over))

    @_handle_peer.register
    def _(self, message: TakeOver, host: str, now_s: float) -> None:
        if self._is_offer_valid(message) and message.token == self._token:
            self._ask(self.replica, None, now_s)

    def _is_offer_valid(self, message: OfferHandover | TakeOver) -> bool:
        is_backup = self.view.backup == self.replica and self.asked is None
        is_current = (message.view, message.sender) == (self.view, self.view.primary)
        return is_backup and is_current

    @_handle_peer.register
    def _(self, message: FetchClaims, host: str, now_s: float) -> None:
        is_alone = self.view.backup is None and self.asked is None
        if not self.is_primary or not is_alone or message.sender == self.replica:
            return
        if self._joining in (None, message.sender):
            if self._joining is None:
                self._joining = message.sender
                self._retarget()

    def learn(self, view: LedgerView, now_s: float) -> None:
        """Accept a newer view."""
        if view.epoch <= self.view.epoch:
            return
        was_primary = self.is_primary
        self.view = view
        self.asked = None
        self._writer.add(ViewRecord(view))
        self._heard_s = now_s
        self._lease_end_s = float("-inf")
        self._token = None
        self._gave_up_lease = False
        if view.backup == self._joining or not self.is_primary:
            self._joining = None
        self._retarget()
        self._copier.relabel(view)
        if was_primary and not self.is_primary:
            self.step_down()
        self.settle(None, now_s)

    def step_down(self) -> None:
        """Give up what only a primary holds."""

    def settle(self, fingerprints: list[bytes] | None, now_s: float) -> None:
        """Act on keys whose entries may be committed now; None means all."""

    def _retarget(self) -> None:
        target = None
        if self.is_primary:
            target = self.required or self._joining
        if target is not None and not self._may_copy_to(target):
            logging.error("ledger backup %s is outside of %s", target, self._region)
            target = None
        if target != self._copier.target:
            self._copier.set_target(target)

    def _may_copy_to(self, replica: str) -> bool:
        return self._get_region(get_replica_host(replica)) == self._region

    def _ask(self, primary: str, backup: str | None, now_s: float) -> None:
        self.asked = LedgerView(self.view.epoch + 1, primary, backup)
        self._writer.add(ViewRecord(self.view, self.asked))
        self._retarget()
        self._repeat_ask(now_s)

    def _repeat_ask(self, now_s: float) -> None:
        self._asked_s = now_s
        ask = ProposeView(self.view.epoch, self.replica, self.asked)
        self._out += self._writer.emit_after_sync(ask)

    def handle_view(self, message: ViewLearned, now_s: float) -> None:
        """Handle the view that the control state holds."""
        self.learn(message.view, now_s)
        if message.view.epoch == self.view.epoch == 0 and self.asked is None:
            self._ask(self.replica, None, now_s)

    def handle_lost_host(self, message: HostLost, now_s: float) -> None:
        """Ask for a view without a lost backup at once."""
        backup = self.view.backup
        if self.is_primary and backup and get_replica_host(backup) == message.host:
            if self.asked is None:
                self._ask(self.replica, None, now_s)

    def start_handover(self, now_s: float) -> None:
        """Let the backup take over, and don't become a backup again."""
        self._is_leaving = True
        self._handover_end_s = now_s + self._options.handover_s

    def is_handing_over(self, now_s: float) -> bool:
        """Return whether nothing new is granted in favour of the backup."""
        is_possible = self.is_primary and self.view.backup is not None
        return is_possible and now_s < self._handover_end_s

    def tick_handover(self, now_s: float) -> None:
        """Offer the lead to the backup if it has everything."""
        is_target = self._copier.target == self.view.backup
        if self.asked is None and is_target and self._copier.is_complete({}):
            offer = OfferHandover(self.view, self.replica)
            self._out.append(SendTo(get_replica_host(self.view.backup), offer))

    def tick_view(self, now_s: float) -> None:
        """Do what is due for the view."""
        if self.is_primary:
            self._tick_primary(now_s)
        elif self.view.backup == self.replica:
            self._tick_backup(now_s)
        elif not self._is_leaving:
            self._tick_outsider(now_s)

    def _tick_primary(self, now_s: float) -> None:
        options = self._options
        silence_s = self._copier.get_silence_s(now_s)
        if self.asked is not None:
            if now_s - self._asked_s >= options.ask_retry_s:
                self._repeat_ask(now_s)
        elif self.view.backup is not None:
            is_foreign = not self._may_copy_to(self.view.backup)
            if is_foreign or silence_s >= options.backup_timeout_s:
                self._ask(self.replica, None, now_s)
        elif self._joining is not None and silence_s >= options.join_timeout_s:
            self._joining = None
            self._retarget()

    def _tick_backup(self, now_s: float) -> None:
        if now_s - self._heard_s < self._options.takeover_silence_s:
            return
        if self.asked is None:
            self._ask(self.replica, None, now_s)
        elif now_s - self._asked_s >= self._options.ask_retry_s:
            self._repeat_ask(now_s)

    def _tick_outsider(self, now_s: float) -> None:
        primary = self.view.primary
        if primary is None:
            if self.asked and now_s - self._asked_s >= self._options.ask_retry_s:
                self._repeat_ask(now_s)
        elif now_s - self._fetched_s >= self._options.join_retry_s:
            self._fetched_s = now_s
            if self._may_copy_to(primary):
                self._out.append(
                    SendTo(get_replica_host(primary), FetchClaims(self.replica))
                )

    def finish_join(self, pending: dict[bytes, object], now_s: float) -> None:
        """Ask for a view with the joining replica once it has everything."""
        if self._joining is None or self.asked is not None:
            return
        if self._copier.target == self._joining and self._copier.is_complete(pending):
            self._ask(self.replica, self._joining, now_s)

    def emit(self, now_s: float) -> list[Effect]:
        """Return the effects, with copies and records that are due."""
        message = self._copier.emit(self.view, now_s) if self.is_primary else None
        if message is not None:
            self._out.append(SendTo(get_replica_host(self._copier.target), message))
        self._out += self._writer.flush()
        out, self._out = self._out, []
        return out
