"""Coordinator: versioned configuration, endpoint heartbeats and the directory."""

from buckthorndeal.coordinator._api import create_default_handlers
from buckthorndeal.coordinator._body_limits import BodyKind
from buckthorndeal.coordinator._daemon import Coordinator, create_coordinator
from buckthorndeal.coordinator._service import CoordinatorService

__all__ = [
    "BodyKind",
    "Coordinator",
    "CoordinatorService",
    "create_coordinator",
    "create_default_handlers",
]
