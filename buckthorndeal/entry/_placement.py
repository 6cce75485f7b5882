"""Reports endpoints and the demand for unserved models to the control hosts."""

import curio

from buckthorndeal.control._messages import EndpointReport, PlacementReport
from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._control import ControlLinks
from buckthorndeal.entry._messages import (
    ListEndpoints,
    ListRegionHosts,
    TakeUnservedCounts,
)
from buckthorndeal.errors import PeerError
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.policy.views import EndpointView
from buckthorndeal.subsetting import choose_registrars

REPORT_INTERVAL_S = 1.0


class PlacementReporter:
    """Reports to every control host the endpoints whose registrar is this host.

    Parameters
    ----------
    host, region : str
        Name and region of this host.
    router : Mailbox
        Mailbox of the router task.
    links : ControlLinks
        Links to the control hosts.
    """

    def __init__(
        self, host: str, region: str, router: Mailbox, links: ControlLinks
    ) -> None:
        self._host = host
        self._region = region
        self._router = router
        self._links = links

    async def run(self) -> None:
        """Send a report every `REPORT_INTERVAL_S` seconds until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            report = await self._create_report()
            if report.endpoints or report.unserved:
                await self._send(report)

    async def _create_report(self) -> PlacementReport:
        hosts = await self._router.ask(ListRegionHosts(self._region))
        views = await self._router.ask(ListEndpoints())
        unserved = await self._router.ask(TakeUnservedCounts())
        own_views = [view for view in views if self._is_registrar(view, hosts)]
        return PlacementReport(
            tuple(create_endpoint_report(view) for view in own_views),
            {f"{self._region}/{model}": count for model, count in unserved.items()},
        )

    def _is_registrar(self, view: EndpointView, hosts: list[HostRecord]) -> bool:
        domains = {
            record.host: record.failure_domain
            for record in hosts
            if record.state == "alive"
        }
        return self._host in choose_registrars(view.name, domains)

    async def _send(self, report: PlacementReport) -> None:
        for link in self._links.links.values():
            if not link.connected:
                continue
            try:
                await link.send(report)
            except PeerError:
                # The next report replaces this one.
                continue


def create_endpoint_report(view: EndpointView) -> EndpointReport:
    """Return the report of an endpoint."""
    return EndpointReport(
        view.name,
        view.incarnation,
        view.service,
        view.region,
        view.address,
        view.port,
        view.models,
        view.versions,
        view.adapters,
        view.model_slots,
        view.checks_fencing,
        view.state == "ready",
        view.slots,
        view.running,
        view.queued,
    )
