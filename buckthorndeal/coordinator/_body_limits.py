"""Sizes of what endpoints, operators and callers may send to a coordinator."""

import enum
from collections.abc import Callable

from buckthorndeal.http_server import BodyLimit

# Endpoints name the models, adapters and versions that they have.
MAX_REPORT_BYTES = 262_144
MAX_COMMAND_BYTES = 4_096


class BodyKind(enum.Enum):
    """What the body of a request is.

    The value is the number of bytes that it may have, None if only the limits of the
    server apply.
    """

    NONE = 0
    COMMAND = MAX_COMMAND_BYTES
    REPORT = MAX_REPORT_BYTES
    CONFIGURATION = None


ClassifyBody = Callable[[str, str], BodyKind]


def create_body_limit(classify: ClassifyBody) -> BodyLimit:
    """Return the limit of bodies by method and path.

    Parameters
    ----------
    classify : callable
        Called with a method and a path; returns the `BodyKind`.
    """
    return lambda method, path: classify(method, path).value
