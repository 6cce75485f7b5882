"""Data classes of placement and the table of outstanding orders."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

ORDER_ID_HEX_DIGITS = 32


@dataclass(frozen=True, slots=True)
class PlacementEndpoint:
    """State of an endpoint that placement uses.

    Parameters
    ----------
    models : tuple of (str, str)
        Loaded models with their versions.
    adapters : tuple of str
        Loaded adapters.
    model_slots : int
        Number of models that can be loaded at once.
    ready : bool
        Whether it accepts new requests: neither draining nor refused by operators.
    checks_fencing : bool
        Whether it refuses orders with an old fencing token.
    """

    name: str
    incarnation: int
    service: str
    region: str
    models: tuple[tuple[str, str], ...] = ()
    adapters: tuple[str, ...] = ()
    model_slots: int = 1
    ready: bool = True
    checks_fencing: bool = False

    def has_model(self, model: str) -> bool:
        """Return whether the model is loaded in any version."""
        return any(name == model for name, _ in self.models)

    def count_free_slots(self) -> int:
        """Return how many more models can be loaded."""
        return self.model_slots - len(self.models)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order to load or unload a model or an adapter, as sent to the endpoint.

    Parameters
    ----------
    order_id : str
        Identifier by which the endpoint recognizes a repeated order.
    fencing : int
        Fencing token of the placement lease under which the order was created.
    action : str
        ``load``, ``load_adapter`` or ``unload``.
    """

    order_id: str
    fencing: int
    action: str
    model: str
    version: str
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """An order with its endpoint, the candidates' scores and the reason."""

    endpoint: PlacementEndpoint
    order: Order
    scores: dict[str, float]
    reason: str


@dataclass(frozen=True)
class PlacementOptions:
    """Durations in seconds and limits of the planner.

    Parameters
    ----------
    max_order_s : float
        Longest time from sending an order to its end at the endpoint, including the
        network delay.
    handover_s : float
        Longest time for which the previous lease holder may still send orders: the
        lease duration plus the bound of the clock drift.
    orders_per_round : int
        Largest number of orders created in one planning round.
    """

    max_order_s: float = 120.0
    handover_s: float = 6.3
    orders_per_round: int = 2


@dataclass(slots=True)
class _OutstandingOrder:
    """An order with the endpoint's state when it was created."""

    order: Order
    endpoint: PlacementEndpoint
    expires_s: float


class OrderTable:
    """Orders that have not ended yet, at most one per endpoint.

    Parameters
    ----------
    fencing : int
        Fencing token of the placement lease.
    max_order_s : float
        Seconds after which an order counts as ended.
    """

    def __init__(self, fencing: int, max_order_s: float) -> None:
        self._fencing = fencing
        self._max_order_s = max_order_s
        self._entries: dict[str, _OutstandingOrder] = {}
        self._sequences: dict[str, int] = {}

    def list_orders(self) -> dict[str, Order]:
        """Return the outstanding orders by endpoint name."""
        return {name: entry.order for name, entry in self._entries.items()}

    def has_order(self, endpoint: str) -> bool:
        """Return whether the endpoint has an outstanding order."""
        return endpoint in self._entries

    def create(
        self,
        endpoint: PlacementEndpoint,
        action: str,
        model: str,
        version: str,
        adapter: str,
        now_s: float,
    ) -> Order:
        """Create an order and add it to the outstanding ones."""
        # The sequence number distinguishes the order from an equal earlier one; without
        # it, the endpoint would treat the order as a repetition.
        sequence = self._sequences.get(endpoint.name, 0) + 1
        self._sequences[endpoint.name] = sequence
        target = (endpoint.name, endpoint.incarnation, action, model, version, adapter)
        content = msgspec.json.encode((self._fencing, sequence, *target))
        order = Order(
            order_id=hashlib.sha256(content).hexdigest()[:ORDER_ID_HEX_DIGITS],
            fencing=self._fencing,
            action=action,
            model=model,
            version=version,
            adapter=adapter,
        )
        expires_s = now_s + self._max_order_s
        self._entries[endpoint.name] = _OutstandingOrder(order, endpoint, expires_s)
        return order

    def end(self, endpoint: str, order_id: str) -> None:
        """Remove an order, unless a newer one has replaced it."""
        entry = self._entries.get(endpoint)
        if entry is not None and entry.order.order_id == order_id:
            del self._entries[endpoint]

    def remove_ended(
        self, endpoints: Iterable[PlacementEndpoint], now_s: float
    ) -> None:
        """Remove orders that have timed out or ended according to the endpoints.

        Parameters
        ----------
        endpoints : iterable of PlacementEndpoint
            Current state of the endpoints.
        now_s : float
            Monotonic time in seconds.
        """
        by_name = {endpoint.name: endpoint for endpoint in endpoints}
        for name, entry in list(self._entries.items()):
            endpoint = by_name.get(name)
            if now_s >= entry.expires_s or (endpoint and _has_ended(entry, endpoint)):
                del self._entries[name]

    def is_unloading(self, endpoint: str, model: str) -> bool:
        """Return whether an outstanding order unloads the model at the endpoint."""
        entry = self._entries.get(endpoint)
        if entry is None:
            return False
        return entry.order.action == "unload" and entry.order.model == model

    def count_loads(self, region: str, model: str) -> int:
        """Count the outstanding loads of a model in a region."""
        return sum(
            entry.endpoint.region == region
            and entry.order.action == "load"
            and entry.order.model == model
            for entry in self._entries.values()
        )

    def has_unload(self, region: str) -> bool:
        """Return whether an unload is outstanding in a region."""
        return any(
            entry.endpoint.region == region and entry.order.action == "unload"
            for entry in self._entries.values()
        )


def _has_ended(entry: _OutstandingOrder, endpoint: PlacementEndpoint) -> bool:
    if endpoint.incarnation != entry.endpoint.incarnation:
        return True
    order = entry.order
    if order.action == "load":
        return (order.model, order.version) in endpoint.models
    if order.action == "load_adapter":
        return order.adapter in endpoint.adapters
    return not endpoint.has_model(order.model)
