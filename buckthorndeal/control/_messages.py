"""Messages among control hosts, and between entry hosts and control hosts."""

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
    """Call: subscribes to the document changes after `revision` (0: all of them).

    A subscriber repeats the call when the connection is lost and when the source
    stops sending. The reply is a `SourceStatus`; the changes follow as notices.
    """

    revision: int


class SourceStatus(Message):
    """Reply and notice: latest revision at the source of a subscription.

    `current` is whether the source knows a leader. A source without one may lack
    changes that other control hosts have.
    """

    revision: int
    current: bool


class DocumentContent(Message):
    """Notice: the whole document; `sections` maps a name to (text, revision)."""

    revision: int
    sections: dict[str, tuple[str, int]]


class DocumentUpdate(Message):
    """Notice: one accepted change."""

    revision: int
    section: str
    section_revision: int
    splice: Splice


class InForce(Message):
    """Notice, sent every second: the document revision in force at the subscriber."""

    revision: int


class GetView(Message):
    """Call: reads the ledger view of a region."""

    region: str


class ChangeView(Message):
    """Call: proposes to replace the view of epoch `base`; see `ledger.ProposeView`."""

    region: str
    base: int
    requester: str
    view: LedgerView


class ViewReply(Message):
    """Reply: the region's view, with epoch 0 if it has none.

    `accepted` is the outcome of `ChangeView`. In the reply to `GetView` it is
    whether the answering host is the leader with a valid lease, so that the view is
    the latest one.
    """

    accepted: bool
    view: LedgerView


class LeaseRequest(Message):
    """Call: acquires or renews a lease; `holder` is unique to a process."""

    name: str
    holder: str


class LeaseRelease(Message):
    """Call: releases a lease before it expires; `fencing` is its fencing token."""

    name: str
    holder: str
    fencing: int


class LeaseReply(Message):
    """Reply: outcome of a lease call, and the resulting state of the lease.

    `fencing` is the fencing token; `duration_s` is the lease duration in seconds.
    """

    granted: bool
    holder: str | None
    fencing: int
    duration_s: float


class LeaderHint(Message):
    """Reply: the call must go to the leader, which is `leader` if known."""

    leader: str | None


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one endpoint, as last announced to its registrar.

    Parameters
    ----------
    models, versions : tuple of str
        Loaded models and their versions, in the same order.
    model_slots : int
        Number of models that can be loaded at once.
    checks_fencing : bool
        Whether the endpoint refuses orders with an old fencing token.
    slots : int
        Number of requests that the endpoint runs at once.
    running, queued : int
        Number of requests that run and that wait.
    """

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

    `unserved` maps ``<region>/<model>`` to the number of requests that wait because
    no endpoint has loaded the model.
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
    """Return the document of a subscriber with a notice applied.

    A notice whose revision is not newer than the document is ignored.

    Raises
    ------
    DocumentError
        If changes are missing in between, so that the subscriber has to subscribe
        again, or the notice is of another type.
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
