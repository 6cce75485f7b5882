"""Metrics of one entry host and their descriptions."""

from buckthorndeal.metrics import Metrics, create_metrics

METRICS = (
    ("requests_total", "counter", "Requests of callers by outcome."),
    ("attempts_total", "counter", "Attempts at endpoints and hosts by outcome."),
    ("retries_total", "counter", "Attempts after a failed one."),
    ("hedges_total", "counter", "Second attempts beside a slow one."),
    ("forwarded_total", "counter", "Requests sent to another entry host."),
    ("spilled_total", "counter", "Requests sent to another region."),
    ("refusals_total", "counter", "Requests that were not run, by reason."),
    ("queue_length", "gauge", "Requests that wait for admission."),
    ("ejected_endpoints", "gauge", "Endpoints that are kept out of the choice."),
    ("tokens_total", "counter", "Tokens passed on to callers."),
    ("endpoints", "gauge", "Endpoints that are known."),
    ("bookings_running", "gauge", "Non-idempotent calls that are running."),
    ("request_seconds", "summary", "Time from the request to the end of its answer."),
    ("first_token_seconds", "summary", "Time from the attempt to its first token."),
    ("token_gap_seconds", "summary", "Time between writes of a streamed answer."),
)


def create_entry_metrics() -> Metrics:
    """Return the described metrics of an entry host, without values."""
    metrics = create_metrics()
    for name, kind, text in METRICS:
        metrics.describe(name, kind, text)
    return metrics
