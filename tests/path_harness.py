"""Hosts whose paths to endpoints can be cut, and what their endpoints answer."""

import curio

from tests.cut_transport import CutTransport
from tests.fleet_harness import create_configuration, create_stream_events

HOST, RELAY, THIRD = "10.1.0.8", "10.1.0.9", "10.1.0.7"
LAST_EVENT = 30
EVENT_S = 0.1
WORK_S = 0.05
SLOW_WORK_S = 1.0
# Of a request or stream, before its path is cut.
PLAY_S = 0.5


def is_endpoint_address(address):
    return address.split(".")[2] == "9"


async def answer(endpoint, request, responder):
    if not request.path.startswith("/stream/"):
        slow = request.path.endswith("/slow")
        await curio.sleep(SLOW_WORK_S if slow else WORK_S)
        await endpoint.respond(request, responder)
        return
    await endpoint.start_stream(request, responder)
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, LAST_EVENT + 1):
        await responder.send(create_stream_events(number, number))
        await curio.sleep(EVENT_S)
    await responder.finish()


async def start_hosts(fleet, hosts, endpoints=3):
    """Start hosts with transports that can be cut; return the transports by host."""
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1))
    transports = {
        host: CutTransport(fleet.transport, is_endpoint_address) for host in hosts
    }
    for host, transport in transports.items():
        await fleet.start_gateway(host, transport=transport)
    for number in range(endpoints):
        await fleet.start_endpoint(f"e{number}", "a-1", answer)
    for host in hosts:
        await fleet.wait_until_ready(host)
    await curio.sleep(1.0)
    return transports
