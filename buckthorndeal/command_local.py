"""The command `buckthorndeal-local`: runs a whole deployment in one process.

The endpoints are stand-ins for services and model engines.
"""

import os
import socket
import sys
from contextlib import ExitStack
from importlib import resources

import curio
import msgspec
from absl import app, flags

from buckthorndeal.command_entry import FAILURE_STATUS, SETTINGS_STATUS
from buckthorndeal.control import ControlDaemon, create_control
from buckthorndeal.daemons import run_daemon
from buckthorndeal.document import create_document
from buckthorndeal.entry import EntryHost, create_entry_host
from buckthorndeal.entry._messages import ListEndpoints, ListHosts
from buckthorndeal.errors import DocumentError, SettingsError, StartError, StoreError
from buckthorndeal.logs import configure_logging, log_event
from buckthorndeal.settings import (
    Address,
    ControlSettings,
    EntrySettings,
    PeerAddress,
    parse_settings,
)
from buckthorndeal.standin import (
    StandinEndpoint,
    StandinEngine,
    StandinPlainService,
    StandinSettings,
    create_standin,
)
from buckthorndeal.transport import SocketTransport, create_socket_transport

__all__ = ["LocalDeployment", "create_local_deployment", "run"]

FLAGS = flags.FLAGS
DEPLOYMENT = "kelawar"
ADDRESS = "127.0.0.1"
SECTIONS = ("teams", "platform", "accounts", "support")
VOTER_COUNT = 3
READY_TIMEOUT_S = 5.0
READY_POLL_S = 0.02
# Time for which a draining host accepts connections from callers with an older
# directory answer. It is short, because this deployment has no such callers.
DRAIN_NOTICE_S = 0.2
DRAIN_TIMEOUT_S = 30.0
PEER_KEY_BYTES = 16
EXAMPLE_COMMANDS = """\
Ready. Try in another terminal:

  curl -N -H 'Authorization: Bearer kunci-loceng-timur' \\
    -d '{{"model": "loceng-7b", "stream": true, "max_tokens": 40, \
"messages": [{{"role": "user", "content": "Draft a catalogue page"}}]}}' \\
    http://{address}/v1/chat/completions

  curl -H 'Authorization: Bearer kunci-loceng-timur' \\
    http://{address}/services/aplikasi-bengkel/stock/loceng-40mm

  curl -H 'Authorization: Bearer kunci-loceng-timur' -H 'Idempotency-Key: deposit-1' \\
    -d '{{"item": "loceng-40mm", "deposit": 120}}' \\
    http://{address}/services/aplikasi-bengkel/deposits
"""


class LocalHost(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Description of an entry host or a control host of the deployment."""

    host: str
    region: str
    failure_domain: str
    port: int
    peer_port: int


class LocalEndpoint(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Description of a stand-in endpoint; one with models is a model engine.

    Without `model_slots`, an engine holds at most as many models as it starts with.
    """

    name: str
    service: str
    region: str
    failure_domain: str
    models: tuple[str, ...] = ()
    model_slots: int | None = None


class Deployment(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Content of a deployment file: hosts and endpoints."""

    entry_hosts: tuple[LocalHost, ...]
    control_hosts: tuple[LocalHost, ...]
    endpoints: tuple[LocalEndpoint, ...]


class LocalDeployment:
    """A deployment whose hosts and endpoints run in one process.

    Parameters
    ----------
    deployment : Deployment
        Hosts and endpoints.
    texts : dict of str to str
        Texts of the initial sections by name.
    data_directory : str
        Directory for the state of the hosts.
    transport : SocketTransport
        Opens and accepts connections.
    """

    def __init__(
        self,
        deployment: Deployment,
        texts: dict[str, str],
        data_directory: str,
        transport: SocketTransport,
    ) -> None:
        self._deployment = deployment
        self._transport = transport
        peer_key = os.urandom(PEER_KEY_BYTES).hex()
        self.hosts = [
            create_entry_host(
                _create_settings(deployment, local_host, data_directory, peer_key),
                transport,
            )
            for local_host in deployment.entry_hosts
        ]
        self.controls = [
            _create_control(
                deployment, local_host, data_directory, peer_key, texts, transport
            )
            for local_host in deployment.control_hosts
        ]
        self.standins: list[StandinEndpoint] = []

    async def start(self) -> None:
        """Start all hosts and endpoints, and wait until the hosts know each other.

        Each entry host also knows the endpoints of its region by then, and each
        region has chosen the primary and the backup of its claims.
        """
        async with curio.TaskGroup() as group:
            for daemon in (*self.controls, *self.hosts):
                await group.spawn(daemon.start)
        failed = [error for error in group.exceptions if error is not None]
        if failed:
            raise failed[0]
        for endpoint in self._deployment.endpoints:
            addresses = self._list_addresses(endpoint.region)
            standin = _create_endpoint(endpoint, addresses, self._transport)
            self.standins.append(standin)
            await standin.start()
        async with curio.timeout_after(READY_TIMEOUT_S):
            while not await self._is_ready():
                await curio.sleep(READY_POLL_S)

    async def wait(self) -> None:
        """Wait until a host fails, and raise its error."""
        async with curio.TaskGroup(wait=any) as group:
            for daemon in (*self.hosts, *self.controls):
                await group.spawn(daemon.wait)
        raise group.completed.exception

    async def drain(self) -> None:
        """Drain all entry hosts."""
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                await group.spawn(host.drain)

    async def close(self) -> None:
        """Stop all hosts and endpoints without draining."""
        for component in (*self.standins, *self.hosts, *self.controls):
            await component.close()

    def _list_addresses(self, region: str) -> tuple[tuple[str, int], ...]:
        pairs = zip(self._deployment.entry_hosts, self.hosts, strict=True)
        return tuple(
            (ADDRESS, host.port)
            for local_host, host in pairs
            if local_host.region == region
        )

    async def _is_ready(self) -> bool:
        for host, local_host in zip(
            self.hosts, self._deployment.entry_hosts, strict=True
        ):
            known = len(await host.router_mailbox.ask(ListEndpoints()))
            expected = [
                endpoint
                for endpoint in self._deployment.endpoints
                if endpoint.region == local_host.region
            ]
            answer = await host.router_mailbox.ask(ListHosts(local_host.region))
            if known < len(expected) or len(answer.hosts) < len(self.hosts):
                return False
        regions = {local_host.region for local_host in self._deployment.entry_hosts}
        return all(self._has_full_view(region) for region in regions)

    def _has_full_view(self, region: str) -> bool:
        """Return whether a region's hosts agree on its claims' primary and backup.

        A region with one host needs no backup.
        """
        pairs = zip(self._deployment.entry_hosts, self.hosts, strict=True)
        claims = [
            host.claims for local_host, host in pairs if local_host.region == region
        ]
        views = [each.describe() for each in claims]
        distinct = {(view["epoch"], view["primary"], view["backup"]) for view in views}
        if len(distinct) > 1 or views[0]["primary"] is None:
            return False
        return len(claims) == 1 or views[0]["backup"] is not None


def _create_settings(
    deployment: Deployment, local_host: LocalHost, data_directory: str, peer_key: str
) -> EntrySettings:
    return EntrySettings(
        host=local_host.host,
        region=local_host.region,
        failure_domain=local_host.failure_domain,
        listen=Address(port=local_host.port),
        peer_listen=Address(port=local_host.peer_port),
        seeds=tuple(Address(port=each.peer_port) for each in deployment.entry_hosts),
        control_hosts=_list_peers(deployment.control_hosts),
        peer_keys=(peer_key,),
        data_directory=os.path.join(data_directory, local_host.host),
        drain_notice_s=DRAIN_NOTICE_S,
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )


def _list_peers(hosts: tuple[LocalHost, ...]) -> tuple[PeerAddress, ...]:
    return tuple(PeerAddress(host=each.host, port=each.peer_port) for each in hosts)


def _create_control(
    deployment: Deployment,
    local_host: LocalHost,
    data_directory: str,
    peer_key: str,
    texts: dict[str, str],
    transport: SocketTransport,
) -> ControlDaemon:
    settings = ControlSettings(
        host=local_host.host,
        region=local_host.region,
        failure_domain=local_host.failure_domain,
        listen=Address(port=local_host.port),
        peer_listen=Address(port=local_host.peer_port),
        voters=_list_peers(deployment.control_hosts[:VOTER_COUNT]),
        learners=_list_peers(deployment.control_hosts[VOTER_COUNT:]),
        peer_keys=(peer_key,),
        data_directory=os.path.join(data_directory, local_host.host),
    )
    return create_control(settings, texts, transport)


def _create_endpoint(
    endpoint: LocalEndpoint,
    entry_hosts: tuple[tuple[str, int], ...],
    transport: SocketTransport,
) -> StandinEndpoint:
    settings = StandinSettings(
        endpoint.name,
        endpoint.service,
        endpoint.region,
        endpoint.failure_domain,
        entry_hosts,
    )
    work = StandinPlainService()
    if endpoint.models:
        work = StandinEngine(endpoint.models, model_slots=endpoint.model_slots)
    return create_standin(settings, work, transport)


def create_local_deployment(
    data_directory: str, port: int | None = None
) -> LocalDeployment:
    """Create the example deployment `kelawar` without starting it.

    Parameters
    ----------
    data_directory : str
        Directory for the state of the hosts.
    port : int or None
        HTTP port of each host; 0 chooses free ports. None uses the ports of the
        deployment file.
    """
    texts = {name: _read_file(f"{name}.jsonc") for name in (DEPLOYMENT, *SECTIONS)}
    deployment = parse_settings(texts[DEPLOYMENT], Deployment, f"{DEPLOYMENT}.jsonc")
    if port is not None:
        deployment = _replace_ports(deployment, port)
    sections = {name: texts[name] for name in SECTIONS}
    create_document(sections)
    return LocalDeployment(
        deployment, sections, data_directory, create_socket_transport()
    )


def _replace_ports(deployment: Deployment, port: int) -> Deployment:
    hosts = (*deployment.entry_hosts, *deployment.control_hosts)
    peer_ports = _find_free_ports(len(hosts))
    replaced = tuple(
        msgspec.structs.replace(host, port=port, peer_port=peer_port)
        for host, peer_port in zip(hosts, peer_ports, strict=True)
    )
    count = len(deployment.entry_hosts)
    return msgspec.structs.replace(
        deployment, entry_hosts=replaced[:count], control_hosts=replaced[count:]
    )


def _find_free_ports(count: int) -> list[int]:
    """Return free ports for hosts that have to know each other's port in advance."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((ADDRESS, 0))
        return [each.getsockname()[1] for each in sockets]


def _read_file(name: str) -> str:
    file = resources.files("buckthorndeal") / "deployments" / name
    return file.read_text(encoding="utf-8")


def _get_address(hosts: list[EntryHost]) -> str:
    return f"127.0.0.1:{hosts[0].port}"


async def _run(deployment: LocalDeployment) -> None:
    def print_commands() -> None:
        print(
            EXAMPLE_COMMANDS.format(address=_get_address(deployment.hosts)), flush=True
        )

    await run_daemon(deployment, print_commands)


def main(_: list[str]) -> int | None:
    """Run the deployment until SIGTERM or SIGINT; return the exit status."""
    configure_logging("local")
    os.makedirs(FLAGS.data_directory, exist_ok=True)
    try:
        curio.run(_run, create_local_deployment(FLAGS.data_directory))
    except (SettingsError, DocumentError) as error:
        print(error, file=sys.stderr)
        return SETTINGS_STATUS
    except (StartError, StoreError) as error:
        log_event("local_failed", reason=str(error))
        return FAILURE_STATUS
    return None


def run() -> None:
    """Parse the flags and run the command."""
    flags.DEFINE_string(
        "data_directory", "var", "Directory for the state of the hosts."
    )
    app.run(main)


if __name__ == "__main__":
    run()
