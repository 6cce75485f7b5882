"""Probe task: asks the listed entry hosts for their readiness.

It stands in for `membership`, which takes its place as the source of `HostSeen`.
"""

import curio

from buckthorndeal._entry_messages import HostSeen
from buckthorndeal.directory import HostRecord
from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.settings import EntryHostAddress, EntrySettings
from buckthorndeal.transport import Transport

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# A host is taken for lost after this many silent probes in a row.
LOST_AFTER_PROBES = 3


async def run_probes(
    settings: EntrySettings, router: Mailbox, transport: Transport
) -> None:
    others = [entry for entry in settings.entry_hosts if entry.host != settings.host]
    async with curio.TaskGroup() as group:
        for entry in others:
            pool = create_http_pool(transport, entry.address, entry.port, 1)
            await group.spawn(_probe_host, entry, pool, router)


async def _probe_host(entry: EntryHostAddress, pool: HttpPool, router: Mailbox) -> None:
    failures = 0
    while True:
        state = await _probe(pool)
        failures = failures + 1 if state is None else 0
        if failures >= LOST_AFTER_PROBES:
            state = "lost"
        if state is not None:
            record = HostRecord(
                entry.host, entry.region, entry.address, entry.port, state
            )
            await router.send(HostSeen(record))
        await curio.sleep(PROBE_INTERVAL_S)


async def _probe(pool: HttpPool) -> str | None:
    try:
        async with curio.timeout_after(PROBE_TIMEOUT_S):
            status, _, _ = await pool.fetch("GET", "/readyz", [])
    except (RequestError, curio.TaskTimeout):
        return None
    return "alive" if status == 200 else "draining"
