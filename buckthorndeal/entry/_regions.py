"""Exchange of spill credits between entry hosts of different regions; no I/O.

A spill credit allows one request to be forwarded to another region. Each host has one
partner host in every other region. It requests credits from the partner and forwards
requests to it against these credits. Every host lends its own share of the local
slots, so no region needs a coordinating host.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import msgspec

from buckthorndeal.directory import HostRecord
from buckthorndeal.policy.credits import (
    Borrower,
    CreditGrant,
    Lender,
    RegionSummary,
    create_borrower,
    create_lender,
)
from buckthorndeal.policy.views import RegionView
from buckthorndeal.wire import Message

EXCHANGE_INTERVAL_S = 1.0
# Subtracted from the lifetime of a grant. The borrower counts the lifetime from
# receipt, so without this margin the lender would refuse the last credits.
TRANSIT_MARGIN_S = 0.75
# One-way delay between regions, until it is measured.
DEFAULT_LINK_DELAY_S = 0.08


class CreditsWanted(msgspec.Struct, frozen=True, array_like=True):
    """Credits that the sender wants for a service."""

    service: str
    amount: int


class SpillAsk(Message):
    """Notice: requests load summaries and credits from the partner."""

    wants: tuple[CreditsWanted, ...]


class ServiceOffer(msgspec.Struct, frozen=True, array_like=True):
    """Load summary of a service, and credits that replace the earlier ones.

    Parameters
    ----------
    wait_s : float
        Expected wait of a request in seconds.
    spare : int
        Spare slots of the sender.
    number : int
        Sequence number of the grant; 0 without a grant.
    credits : int
        Granted credits.
    lifetime_s : float
        Lifetime of the credits in seconds, from receipt.
    """

    service: str
    wait_s: float
    spare: int
    number: int = 0
    credits: int = 0
    lifetime_s: float = 0.0


class SpillOffer(Message):
    """Notice: reply to `SpillAsk`."""

    offers: tuple[ServiceOffer, ...]


REGION_MESSAGES = (SpillAsk, SpillOffer)


@dataclass(frozen=True, slots=True)
class SpillReceived:
    """Tells the router task of a notice from a host in another region."""

    message: SpillAsk | SpillOffer
    host: str


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service at this host.

    Parameters
    ----------
    spare : int
        Requests that this host can still admit.
    limit : int
        This host's part of the capacity that the region may lend, in requests.
    wait_s : float
        Expected wait of a request in seconds.
    """

    spare: int
    limit: int
    wait_s: float


class CreditExchange:
    """Credits that this host has lent to and borrowed from hosts of other regions.

    Parameters
    ----------
    host, region : str
        Name and region of this host.
    """

    def __init__(self, host: str, region: str) -> None:
        self._host = host
        self._region = region
        self._lenders: dict[str, Lender] = {}
        self._borrowers: dict[str, Borrower] = {}
        self._partners: dict[str, HostRecord] = {}
        # Credits that each host wants, by service; the next offers grant them.
        self._wanted_credits: dict[str, dict[str, int]] = {}
        self._last_exchange_s = float("-inf")

    def create_notices(
        self,
        loads: Mapping[str, ServiceLoad],
        hosts: Iterable[HostRecord],
        now_s: float,
    ) -> list[tuple[str, Message]]:
        """Return the notices to send now, each with its target host.

        The list is empty until `EXCHANGE_INTERVAL_S` has passed since the last one.

        Parameters
        ----------
        loads : mapping of str to ServiceLoad
            Load of each service at this host.
        hosts : iterable of HostRecord
            Alive entry hosts of all regions.
        now_s : float
            Monotonic time in seconds.
        """
        if now_s - self._last_exchange_s < EXCHANGE_INTERVAL_S:
            return []
        self._last_exchange_s = now_s
        self._choose_partners(hosts)
        requests = self._create_requests(now_s)
        return requests + self._create_offers(loads, now_s)

    def receive(
        self, message: SpillAsk | SpillOffer, record: HostRecord, now_s: float
    ) -> None:
        """Apply a notice from another host.

        Offers are accepted only from the partner in the sender's region.
        """
        if isinstance(message, SpillAsk):
            wants = {want.service: max(0, want.amount) for want in message.wants}
            self._wanted_credits[record.host] = wants
        elif self._get_partner(record.region) == record.host:
            for offer in message.offers:
                self._apply_offer(offer, record.region, now_s)

    def record_demand(self, service: str, now_s: float) -> None:
        """Count a request that could have used another region."""
        self._get_borrower(service).record_demand(1, now_s)

    def list_regions(self, service: str, now_s: float) -> list[RegionView]:
        """Return the regions from which this host holds credits."""
        borrower = self._borrowers.get(service)
        return [] if borrower is None else borrower.list_regions(now_s)

    def is_partner_allowed(self, region: str, names: Collection[str]) -> bool:
        """Return whether the region has a partner that is none of the named hosts."""
        partner = self._get_partner(region)
        return partner is not None and partner not in names

    def take_credit(self, service: str, region: str, now_s: float) -> HostRecord | None:
        """Spend a credit; return the host that granted it, or None without credit."""
        partner = self._partners.get(region)
        if partner is None or not self._get_borrower(service).take_credit(
            region, now_s
        ):
            return None
        return partner

    def redeem(self, service: str, host: str, spare: int, now_s: float) -> bool:
        """Return whether a request of another host is covered by its credits."""
        lender = self._lenders.get(service)
        return lender is not None and lender.redeem(host, spare, now_s)

    def _get_partner(self, region: str) -> str | None:
        partner = self._partners.get(region)
        return partner.host if partner is not None else None

    def _get_borrower(self, service: str) -> Borrower:
        if service not in self._borrowers:
            self._borrowers[service] = create_borrower(
                self._region, default_delay_s=DEFAULT_LINK_DELAY_S
            )
        return self._borrowers[service]

    def _choose_partners(self, hosts: Iterable[HostRecord]) -> None:
        regions: dict[str, list[HostRecord]] = {}
        for record in hosts:
            if record.region != self._region and record.state == "alive":
                regions.setdefault(record.region, []).append(record)
        for region in {*regions, *self._partners}:
            partner = min(regions.get(region, ()), key=self._hash_pair, default=None)
            if self._get_partner(region) != (partner and partner.host):
                for borrower in self._borrowers.values():
                    borrower.forget_region(region)
            if partner is None:
                del self._partners[region]
            else:
                self._partners[region] = partner

    def _hash_pair(self, record: HostRecord) -> bytes:
        pair = f"{self._host}\0{record.host}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    def _create_requests(self, now_s: float) -> list[tuple[str, Message]]:
        wants: dict[str, list[CreditsWanted]] = {name: [] for name in self._partners}
        for service, borrower in self._borrowers.items():
            for request in borrower.create_requests(now_s):
                if request.region in wants:
                    want = CreditsWanted(service, request.wanted)
                    wants[request.region].append(want)
        return [
            (self._partners[region].host, SpillAsk(tuple(wanted)))
            for region, wanted in sorted(wants.items())
        ]

    def _create_offers(
        self, loads: Mapping[str, ServiceLoad], now_s: float
    ) -> list[tuple[str, Message]]:
        requested_credits, self._wanted_credits = self._wanted_credits, {}
        offers: dict[str, list[ServiceOffer]] = {host: [] for host in requested_credits}
        for service, load in loads.items():
            if service not in self._lenders:
                self._lenders[service] = create_lender(self._region)
            lender = self._lenders[service]
            summary = lender.summarize(load.wait_s, load.spare, now_s, load.limit)
            wants = {
                host: wanted[service]
                for host, wanted in requested_credits.items()
                if service in wanted
            }
            grants = {
                grant.borrower: grant
                for grant in lender.grant(load.spare, wants, now_s, load.limit)
            }
            for host in offers:
                offers[host].append(_create_offer(service, summary, grants.get(host)))
        return [(host, SpillOffer(tuple(offered))) for host, offered in offers.items()]

    def _apply_offer(self, offer: ServiceOffer, region: str, now_s: float) -> None:
        borrower = self._get_borrower(offer.service)
        summary = RegionSummary(region, offer.wait_s, offer.spare)
        borrower.receive_summary(summary, now_s)
        if offer.number:
            grant = CreditGrant(
                region, self._region, offer.number, offer.credits, offer.lifetime_s
            )
            borrower.receive_grant(grant, now_s)


def _create_offer(
    service: str, summary: RegionSummary, grant: CreditGrant | None
) -> ServiceOffer:
    if grant is None:
        return ServiceOffer(service, summary.wait_s, summary.spare)
    return ServiceOffer(
        service,
        summary.wait_s,
        summary.spare,
        grant.number,
        grant.credits,
        max(0.0, grant.lifetime_s - TRANSIT_MARGIN_S),
    )


def compute_lending_limit(
    capacity: int, spill_share: float, position: int, hosts: int
) -> int:
    """Return one host's part of the capacity that a region may lend.

    The parts of all hosts add up to the total of the region, so that small parts are
    not all rounded down to zero.

    Parameters
    ----------
    capacity : int
        Requests that all hosts of the region may run at once.
    spill_share : float
        Share of the capacity that may be lent.
    position, hosts : int
        Position of the host among the region's hosts, from 0, and their number.

    Returns
    -------
    int
        Capacity that this host may lend, in requests.
    """
    # Without the tolerance, a product such as 0.29 x 100 would lose one request.
    total = int(spill_share * capacity + 1e-9)
    return total * (position + 1) // hosts - total * position // hosts


def create_credit_exchange(host: str, region: str) -> CreditExchange:
    """Create the exchange of one host, without any credits."""
    return CreditExchange(host, region)
