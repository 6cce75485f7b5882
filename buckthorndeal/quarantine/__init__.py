"""Quarantine of requests that crash endpoints; no I/O.

Evidence is kept by keys: what requests have in common, as digests. Entry hosts report
the keys of the requests that an endpoint had just begun to answer when it ended, and
whether requests with those keys are answered elsewhere. Each host decides by the merged
evidence of all.
"""

from buckthorndeal.quarantine._keys import (
    RequestContent,
    digest_part,
    digest_request_id,
    is_request_key,
    list_keys,
    list_part_keys,
)
from buckthorndeal.quarantine._quarantine import (
    Quarantine,
    QuarantineChange,
    create_quarantine,
)
from buckthorndeal.quarantine._records import (
    EndpointEnd,
    Evidence,
    KeyAnswers,
    QuarantineDecision,
    Suspect,
)
from buckthorndeal.quarantine._table import EvidenceTable

__all__ = [
    "EndpointEnd",
    "Evidence",
    "EvidenceTable",
    "KeyAnswers",
    "Quarantine",
    "QuarantineChange",
    "QuarantineDecision",
    "RequestContent",
    "Suspect",
    "create_quarantine",
    "digest_part",
    "digest_request_id",
    "is_request_key",
    "list_keys",
    "list_part_keys",
]
