"""Replica of the ledger: views, leases and replication of entries."""

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
    """Stores the entries of one host and, as the primary, copies them to a backup.

    These rules keep the request of a key from running twice:

    * An entry is committed once it is synced at the primary and, if the view has a
      backup, also at the backup.
    * A primary that has proposed a view with a new backup requires that backup's
      acknowledgement from then on, also after a restart, because the view may
      already have been accepted.
    * A primary that has told its backup to take over is not confirmed until it
      learns a newer view, because the backup may already be the primary.
    * A replica that knows a newer view refuses the entries of an older one. The
      view is synced before anything is committed under it.

    Parameters
    ----------
    replica : str
        Name of this replica, ``<host>#<store identity>``.
    region : str
        Region of this host. Entries are only copied within it.
    get_region : callable
        Returns the region of a host, or None if it is unknown.
    snapshot : ClaimSnapshot
        Content of the store; it is modified.
    rng : random.Random
        Source of batch numbers and handover tokens.
    now_s : float
        Monotonic time in seconds.
    options : LedgerOptions
        Timeouts and limits.
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
        self.proposed_view = snapshot.record.asked
        self._region = region
        self._get_region = get_region
        self._options = options
        self._snapshot = snapshot
        self._writer = Writer()
        self._copier = Copier(snapshot, replica, rng)
        self._effects: list[Effect] = []
        self._joining_replica: str | None = None
        self._primary_heard_s = now_s
        self._proposed_s = now_s
        self._last_fetch_s = float("-inf")
        self._lease_end_s = float("-inf")
        self._rng = rng
        self._handover_token: int | None = None
        self._gave_up_lease = False
        self._is_shutting_down = False
        self._handover_end_s = float("-inf")
        self._update_copy_target()

    @property
    def is_primary(self) -> bool:
        """Whether this replica is the primary of the newest view it knows."""
        return self.view.primary == self.replica

    @property
    def required_backup(self) -> str | None:
        """Replica that has to acknowledge an entry before it is committed, if any.

        A proposed backup counts, because the view may already have been accepted.
        """
        if self.view.backup is not None or self.proposed_view is None:
            return self.view.backup
        return self.proposed_view.backup

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether no other replica can be the primary at `now_s`."""
        if not self.is_primary:
            return False
        if self.required_backup is None:
            return True
        return not self._gave_up_lease and now_s < self._lease_end_s

    def is_committed(self, fingerprint: bytes) -> bool:
        """Return whether the latest entry of a key is synced here and at the backup."""
        if not self._writer.is_synced(fingerprint):
            return False
        if self.required_backup is None:
            return True
        is_target = self._copier.target == self.required_backup
        return is_target and self._copier.is_copied(fingerprint)

    def store_entry(self, entry: ClaimEntry) -> None:
        """Store an entry, and queue it for the disk and for the copy target."""
        self._snapshot.entries[entry.fingerprint] = entry
        self._writer.add(entry)
        self._copier.mark_changed(entry.fingerprint)

    def handle_message(self, message: Message, host: str, now_s: float) -> None:
        """Handle a message from another host; refuse it if from another region."""
        if self._get_region(host) != self._region:
            logging.error(
                "refused a ledger message from host %s, which is not in region %s",
                host,
                self._region,
            )
            return
        sender = getattr(message, "sender", None)
        if sender is None or get_replica_host(sender) == host:
            self._handle_peer(message, host, now_s)

    @functools.singledispatchmethod
    def _handle_peer(self, message: Message, host: str, now_s: float) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle_peer.register
    def _(self, message: CopyClaims, host: str, now_s: float) -> None:
        self.accept_view(message.view, now_s)
        is_current = message.view.epoch == self.view.epoch
        if not is_current or message.sender != self.view.primary:
            self._effects.append(SendTo(host, CopyRefused(self.view)))
            return
        self._primary_heard_s = now_s
        self._handover_token = None
        if self._is_takeover_pending(now_s):
            self._effects.append(SendTo(host, CopyRefused(self.view)))
            return
        self._merge_entries(message)
        copied = ClaimsCopied(self.replica, message.batch, self.proposed_view is None)
        self._effects += self._writer.defer_until_synced(SendTo(host, copied))

    def _is_takeover_pending(self, now_s: float) -> bool:
        """Return whether a recent proposal to take over may still be accepted.

        Acknowledging afterwards is safe, because a new primary starts with everything
        it has acknowledged. It lets a region that cannot reach the control hosts go on
        granting claims when its backup has proposed without an answer. Such
        acknowledgements do not extend the lease of the primary.
        """
        proposed_recently = now_s - self._proposed_s < self._options.takeover_pending_s
        return self.proposed_view is not None and proposed_recently

    def _merge_entries(self, message: CopyClaims) -> None:
        for entry in message.entries:
            if self._snapshot.merge_entry(entry):
                self._writer.add(entry)
        if message.fingerprints:
            self._snapshot.expired.add_packed(message.fingerprints)
            self._writer.add(Fingerprints(message.fingerprints))

    @_handle_peer.register
    def _(self, message: ClaimsCopied, host: str, now_s: float) -> None:
        if message.sender != self._copier.target:
            return
        acknowledged = self._copier.acknowledge(message.batch)
        if acknowledged is None:
            return
        sent_s, copied = acknowledged
        if message.confirms and message.sender == self.required_backup:
            lease_end_s = sent_s + self._options.lease_s
            self._lease_end_s = max(self._lease_end_s, lease_end_s)
        self.process_committed(copied, now_s)

    @_handle_peer.register
    def _(self, message: CopyRefused, host: str, now_s: float) -> None:
        self.accept_view(message.view, now_s)

    @_handle_peer.register
    def _(self, message: OfferHandover, host: str, now_s: float) -> None:
        if self._is_current_offer(message):
            self._handover_token = self._rng.getrandbits(48)
            accepted = HandoverAccepted(self.view, self.replica, self._handover_token)
            self._effects.append(SendTo(host, accepted))

    @_handle_peer.register
    def _(self, message: HandoverAccepted, host: str, now_s: float) -> None:
        is_current = (message.view, message.sender) == (self.view, self.view.backup)
        if is_current and self.proposed_view is None and self.is_handing_over(now_s):
            self._gave_up_lease = True
            take_over = TakeOver(self.view, self.replica, message.token)
            self._effects.append(SendTo(host, take_over))

    @_handle_peer.register
    def _(self, message: TakeOver, host: str, now_s: float) -> None:
        if self._is_current_offer(message) and message.token == self._handover_token:
            self._propose_view(self.replica, None, now_s)

    def _is_current_offer(self, message: OfferHandover | TakeOver) -> bool:
        is_backup = self.view.backup == self.replica and self.proposed_view is None
        is_current = (message.view, message.sender) == (self.view, self.view.primary)
        return is_backup and is_current

    @_handle_peer.register
    def _(self, message: FetchClaims, host: str, now_s: float) -> None:
        is_alone = self.view.backup is None and self.proposed_view is None
        if not self.is_primary or not is_alone or message.sender == self.replica:
            return
        if self._joining_replica in (None, message.sender):
            if self._joining_replica is None:
                self._joining_replica = message.sender
                self._update_copy_target()

    def accept_view(self, view: LedgerView, now_s: float) -> None:
        """Adopt a view if it is newer than the present one."""
        if view.epoch <= self.view.epoch:
            return
        was_primary = self.is_primary
        self.view = view
        self.proposed_view = None
        self._writer.add(ViewRecord(view))
        self._primary_heard_s = now_s
        self._lease_end_s = float("-inf")
        self._handover_token = None
        self._gave_up_lease = False
        if view.backup == self._joining_replica or not self.is_primary:
            self._joining_replica = None
        self._update_copy_target()
        self._copier.replace_view(view)
        if was_primary and not self.is_primary:
            self.step_down()
        self.process_committed(None, now_s)

    def step_down(self) -> None:
        """Discard the state that only a primary has."""

    def process_committed(self, fingerprints: list[bytes] | None, now_s: float) -> None:
        """Process keys whose entries may have become committed; None means all."""

    def _update_copy_target(self) -> None:
        target = None
        if self.is_primary:
            target = self.required_backup or self._joining_replica
        if target is not None and not self._may_copy_to(target):
            logging.error(
                "refused ledger backup %s, which is not in region %s",
                target,
                self._region,
            )
            target = None
        if target != self._copier.target:
            self._copier.set_target(target)

    def _may_copy_to(self, replica: str) -> bool:
        return self._get_region(get_replica_host(replica)) == self._region

    def _propose_view(self, primary: str, backup: str | None, now_s: float) -> None:
        self.proposed_view = LedgerView(self.view.epoch + 1, primary, backup)
        self._writer.add(ViewRecord(self.view, self.proposed_view))
        self._update_copy_target()
        self._send_proposal(now_s)

    def _send_proposal(self, now_s: float) -> None:
        self._proposed_s = now_s
        proposal = ProposeView(self.view.epoch, self.replica, self.proposed_view)
        self._effects += self._writer.defer_until_synced(proposal)

    def handle_view(self, message: ViewLearned, now_s: float) -> None:
        """Adopt the view that the control hosts hold; propose the first one."""
        self.accept_view(message.view, now_s)
        if message.view.epoch == self.view.epoch == 0 and self.proposed_view is None:
            self._propose_view(self.replica, None, now_s)

    def handle_lost_host(self, message: HostLost, now_s: float) -> None:
        """Propose a view without the backup at once if its host is lost."""
        backup = self.view.backup
        if self.is_primary and backup and get_replica_host(backup) == message.host:
            if self.proposed_view is None:
                self._propose_view(self.replica, None, now_s)

    def start_handover(self, now_s: float) -> None:
        """Start to hand over to the backup, and stop trying to become a backup."""
        self._is_shutting_down = True
        self._handover_end_s = now_s + self._options.max_handover_s

    def is_handing_over(self, now_s: float) -> bool:
        """Return whether new claims are refused because the backup is to take over."""
        is_possible = self.is_primary and self.view.backup is not None
        return is_possible and now_s < self._handover_end_s

    def offer_handover(self, now_s: float) -> None:
        """Offer the primary role to the backup if it has all entries."""
        is_target = self._copier.target == self.view.backup
        if self.proposed_view is None and is_target and self._copier.has_copied_all({}):
            offer = OfferHandover(self.view, self.replica)
            self._effects.append(SendTo(get_replica_host(self.view.backup), offer))

    def run_view_timers(self, now_s: float) -> None:
        """Handle the timeouts of the role that this replica has in the view."""
        if self.is_primary:
            self._run_primary_timers(now_s)
        elif self.view.backup == self.replica:
            self._run_backup_timers(now_s)
        elif not self._is_shutting_down:
            self._run_nonmember_timers(now_s)

    def _run_primary_timers(self, now_s: float) -> None:
        options = self._options
        silence_s = self._copier.get_unacknowledged_s(now_s)
        if self.proposed_view is not None:
            if now_s - self._proposed_s >= options.proposal_retry_s:
                self._send_proposal(now_s)
        elif self.view.backup is not None:
            is_in_other_region = not self._may_copy_to(self.view.backup)
            if is_in_other_region or silence_s >= options.backup_timeout_s:
                self._propose_view(self.replica, None, now_s)
        elif self._joining_replica is not None and silence_s >= options.join_timeout_s:
            self._joining_replica = None
            self._update_copy_target()

    def _run_backup_timers(self, now_s: float) -> None:
        if now_s - self._primary_heard_s < self._options.takeover_silence_s:
            return
        if self.proposed_view is None:
            self._propose_view(self.replica, None, now_s)
        elif now_s - self._proposed_s >= self._options.proposal_retry_s:
            self._send_proposal(now_s)

    def _run_nonmember_timers(self, now_s: float) -> None:
        primary = self.view.primary
        if primary is None:
            if (
                self.proposed_view
                and now_s - self._proposed_s >= self._options.proposal_retry_s
            ):
                self._send_proposal(now_s)
        elif now_s - self._last_fetch_s >= self._options.join_retry_s:
            self._last_fetch_s = now_s
            if self._may_copy_to(primary):
                self._effects.append(
                    SendTo(get_replica_host(primary), FetchClaims(self.replica))
                )

    def propose_joined_backup(self, pending: dict[bytes, object], now_s: float) -> None:
        """Propose the joining replica as the backup once it has all entries.

        Entries of `pending` claims may be missing.
        """
        if self._joining_replica is None or self.proposed_view is not None:
            return
        if self._copier.target == self._joining_replica and self._copier.has_copied_all(
            pending
        ):
            self._propose_view(self.replica, self._joining_replica, now_s)

    def take_effects(self, now_s: float) -> list[Effect]:
        """Return and clear the effects, including copies and records that are due."""
        message = (
            self._copier.take_due_message(self.view, now_s) if self.is_primary else None
        )
        if message is not None:
            self._effects.append(SendTo(get_replica_host(self._copier.target), message))
        self._effects += self._writer.take_batch()
        effects, self._effects = self._effects, []
        return effects
