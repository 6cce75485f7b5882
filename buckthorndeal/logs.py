"""Structured logs: JSON lines written through absl.logging."""

import json
import logging as stdlib_logging
import time

from absl import logging

__all__ = ["JsonFormatter", "configure_logging", "log_decision", "log_event"]

EXTRA_FIELD = "buckthorndeal_fields"


class JsonFormatter(stdlib_logging.Formatter):
    """Formats one record as one line of JSON.

    Parameters
    ----------
    host : str
        Host named in each line.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return `record` as a JSON object without line breaks."""
        fields = getattr(record, EXTRA_FIELD, {})
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "host": self._host,
            "event": record.getMessage(),
            **fields,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(host: str) -> None:
    """Write JSON lines to standard error through absl's handler."""
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(host))
    logging.use_absl_handler()
    # Curio warns when an operation ends just after its timeout, which is normal.
    stdlib_logging.getLogger("curio.time").setLevel(stdlib_logging.ERROR)
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log an event with named fields."""
    logging.get_absl_logger().info(event, extra={EXTRA_FIELD: fields})


def log_decision(
    kind: str,
    request_id: str,
    chosen: str | None,
    scores: dict[str, float],
    reason: str,
    **fields: object,
) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        ``route`` or ``placement``.
    request_id : str
        Request or order that the decision belongs to.
    chosen : str or None
        Endpoint, host or region chosen; None for a refusal.
    scores : dict of str to float
        Score of each candidate in seconds; lower is better.
    reason : str
        Why the candidate was chosen.
    **fields : object
        Further fields; never request bodies, prompts or query strings.
    """
    log_event(
        f"{kind}_decision",
        request_id=request_id,
        chosen=chosen,
        scores={name: round(score, 4) for name, score in scores.items()},
        reason=reason,
        **fields,
    )
