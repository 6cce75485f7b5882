"""Priority that requests have at an engine; no I/O.

Answers engines that admit more urgent requests first, and once they are full preempt a
running request for each of them.
"""

from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import Call

# Value for the least urgent requests; 0 is the most urgent.
MAX_URGENCY = 9
# Engines with fewer slots are often full. They would preempt a running request for each
# more urgent one, and prefill it again, so they are sent no priorities. Priorities only
# while an engine has room would let it preempt the requests that were sent without one.
# The order is kept at the gateways instead.
MIN_PRIORITY_SLOTS = 32


def compute_urgency(call: Call, load: EndpointLoad) -> int | None:
    """Return the priority of a request at an engine; None if requests are equal."""
    if load.entry.record.slots < MIN_PRIORITY_SLOTS:
        return None
    return min(MAX_URGENCY, call.priority)
