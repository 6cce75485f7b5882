"""Simulated plain service: lookups with GET, bookings with POST."""

import hashlib

import curio
import msgspec

from buckthorndeal.errors import RequestError
from buckthorndeal.http_server import Request, Responder

MAX_STOCK = 40


class StandinPlainService:
    """Plain service that records every booking it executes.

    Parameters
    ----------
    slots : int
        Number of concurrent calls that it reports; not enforced.
    service_s : float
        Duration of each call, in seconds.
    """

    def __init__(self, slots: int = 16, service_s: float = 0.005) -> None:
        self.models: tuple[str, ...] = ()
        self.versions: tuple[str, ...] = ()
        self.model_slots = 1
        self.slots = slots
        self.checks_fencing = False
        self.running = 0
        self.queued = 0
        self.bookings: list[object] = []
        self._service_s = service_s

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request of an entry host."""
        if request.path == "/cancel":
            # Calls can't be cancelled; one that has started runs to completion.
            await responder.respond_json(200, {})
            return
        self.running += 1
        try:
            await curio.sleep(self._service_s)
            status, body = self._execute(request)
        finally:
            self.running -= 1
        request_id = request.headers.get("buckthorndeal-request-id", "")
        headers = [("buckthorndeal-request-id", request_id)]
        await responder.respond_json(status, body, headers)

    def take_cache_reports(self) -> list[dict]:
        """Return no reports, as a plain service has no prefix cache."""
        return []

    def _execute(self, request: Request) -> tuple[int, dict]:
        if request.method == "GET":
            item = request.path.rpartition("/")[2]
            return 200, {"item": item, "in_stock": compute_stock(item)}
        if request.method != "POST":
            raise RequestError("method_not_allowed", 405, "use GET or POST")
        try:
            booking = msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            raise RequestError("bad_request", 400, str(error)) from error
        self.bookings.append(booking)
        return 201, {"number": len(self.bookings), "booked": booking}


def compute_stock(item: str) -> int:
    """Return the stock of an item, derived from a hash of its name alone."""
    return hashlib.sha256(item.encode()).digest()[0] % MAX_STOCK
