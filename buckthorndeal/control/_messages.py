"""Messages between control hosts, and between entry hosts and control hosts."""

import msgspec

from buckthorndeal.consensus import (
    ConsensusFrame,
    DescribeReplica,
    ReplicaDescription,
)
from buckthorndeal.document import Document, Splice, restore_document
from buckthorndeal.errors import DocumentError
from buckthorndeal.ledger import LedgerView
from buckthorndeal.wire import Message, create_codec


class Subscribe(Message):
    """Call: asks for document changes after `revision` (0 for nothing yet).

    A subscriber repeats it after a connection is lost and when the source falls
    silent. The reply is a `SourceStatus`; the changes follow as notices.
    """

    revision: int


class SourceStatus(Message):
    """Reply and notice: newest revision of a source.

    `current` tells whether the source has contact with the leader. A source
    without it may lack changes that others have.
    """

    revision: int
    current: bool


class DocumentContent(Message):
    """Notice: the whole document, as texts with section revisions."""

    revision: int
    sections: dict[str, tuple[str, int]]


class DocumentUpdate(Message):
    """Notice: one accepted change."""

    revision: int
    section: str
    section_revision: int
    splice: Splice


class InForce(Message):
    """Notice: document revision in force at the subscriber, sent every second."""

    revision: int


class GetView(Message):
    """Call: asks for the ledger view of a region."""

    region: str


class ChangeView(Message):
    """Call: asks to replace the view of epoch `base`; see `ledger.ProposeView`."""

    region: str
    base: int
    requester: str
    view: LedgerView


class ViewReply(Message):
    """Reply: the region's view, with epoch 0 if it has none.

    `accepted` is the outcome of `ChangeView`. For `GetView` it tells whether the
    leader has confirmed that the view is the newest one.
    """

    accepted: bool
    view: LedgerView


class LeaseRequest(Message):
    """Call: asks for a lease or its renewal; `holder` is unique for a process."""

    name: str
    holder: str


class LeaseRelease(Message):
    """Call: ends a lease early."""

    name: str
    holder: str
    fencing: int


class LeaseReply(Message):
    """Reply: outcome of a lease call and the lease after it."""

    granted: bool
    holder: str | None
    fencing: int
    duration_s: float


class LeaderHint(Message):
    """Reply: the call needs the leader, which is believed to be `leader`."""

    leader: str | None


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one endpoint, as its registrar knows it."""

    name: str
    incarnation: int
    service: str
    region: str
    address: str
    port: int
    models: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    model_slots: int
    checks_fencing: bool
    ready: bool
    slots: int
    running: int
    queued: int


class PlacementReport(Message):
    """Notice, sent every second: the sender's endpoints.

    `unserved` counts the waiting requests that found no copy, by
    ``<region>/<model>``.
    """

    endpoints: tuple[EndpointReport, ...]
    unserved: dict[str, int] = {}


CONTROL_CODEC = create_codec(
    (
        ConsensusFrame,
        DescribeReplica,
        ReplicaDescription,
        Subscribe,
        SourceStatus,
        DocumentContent,
        DocumentUpdate,
        InForce,
        GetView,
        ChangeView,
        ViewReply,
        LeaseRequest,
        LeaseRelease,
        LeaseReply,
        LeaderHint,
        PlacementReport,
    )
)


def apply_document_notice(
    document: Document, notice: DocumentContent | DocumentUpdate
) -> Document:
    """Return a subscriber's document after a notice.

    An older revision than the one in force is ignored.

    Raises
    ------
    DocumentError
        If changes are missing; the subscriber has to subscribe again.
    """
    if notice.revision <= document.revision:
        return document
    if isinstance(notice, DocumentContent):
        return restore_document(notice.revision, notice.sections)
    if not isinstance(notice, DocumentUpdate):
        raise DocumentError(f"unexpected notice {type(notice).__name__}")
    return document.apply_update(
        notice.section, notice.splice, notice.section_revision, notice.revision
    )
