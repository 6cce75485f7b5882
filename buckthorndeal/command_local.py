"""Command that runs a whole deployment with stand-in endpoints in one process."""

import os
import socket
import sys
from contextlib import ExitStack
from importlib import resources

import curio
import msgspec
from absl import app, flags

from buckthorndeal._entry_document import create_document_view
from buckthorndeal._entry_messages import DocumentView, ListEndpoints, ListHosts
from buckthorndeal.command_entry import SETTINGS_STATUS, serve_until_signalled
from buckthorndeal.entry import EntryHost, create_entry_host
from buckthorndeal.errors import DocumentError, SettingsError
from buckthorndeal.logs import configure_logging
from buckthorndeal.sections import parse_section
from buckthorndeal.settings import (
    Address,
    EntrySettings,
    PeerAddress,
    parse_settings,
)
from buckthorndeal.standin import (
    Standin,
    StandinEngine,
    StandinPlain,
    StandinSettings,
    create_standin,
)
from buckthorndeal.transport import SocketTransport, create_socket_transport

__all__ = ["LocalDeployment", "create_local_deployment", "run"]

FLAGS = flags.FLAGS
DEPLOYMENT = "kelawar"
ADDRESS = "127.0.0.1"
SECTIONS = ("platform", "accounts", "support")
READY_TIMEOUT_S = 5.0
READY_POLL_S = 0.02
# Nothing else is told of an answer of the directory in this process.
DRAIN_NOTICE_S = 0.2
DRAIN_TIMEOUT_S = 30.0
PEER_KEY_BYTES = 16
COMMANDS = """\
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
    """An entry host of the deployment."""

    host: str
    region: str
    failure_domain: str
    port: int
    peer_port: int


class LocalEndpoint(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A stand-in endpoint; one with models is a model engine."""

    name: str
    service: str
    region: str
    failure_domain: str
    models: tuple[str, ...] = ()


class Deployment(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Hosts and endpoints of a deployment."""

    entry_hosts: tuple[LocalHost, ...]
    endpoints: tuple[LocalEndpoint, ...]


class LocalDeployment:
    """A deployment whose hosts and endpoints share one process.

    Parameters
    ----------
    deployment : Deployment
        Hosts and endpoints.
    view : DocumentView
        Sections in force.
    data_directory : str
        Directory of the state.
    transport : SocketTransport
        Opens and accepts connections.
    """

    def __init__(
        self,
        deployment: Deployment,
        view: DocumentView,
        data_directory: str,
        transport: SocketTransport,
    ) -> None:
        self._deployment = deployment
        self._transport = transport
        peer_key = os.urandom(PEER_KEY_BYTES).hex()
        self.hosts = [
            create_entry_host(
                _create_settings(deployment, entry, data_directory, peer_key),
                transport,
                view,
            )
            for entry in deployment.entry_hosts
        ]
        self.standins: list[Standin] = []

    async def start(self) -> None:
        """Start everything and wait until each endpoint is known to its region."""
        for host in self.hosts:
            await host.start()
        for endpoint in self._deployment.endpoints:
            addresses = self._list_addresses(endpoint.region)
            standin = _create_endpoint(endpoint, addresses, self._transport)
            self.standins.append(standin)
            await standin.start()
        async with curio.timeout_after(READY_TIMEOUT_S):
            while not await self._is_complete():
                await curio.sleep(READY_POLL_S)

    async def close(self) -> None:
        """Stop everything at once."""
        for part in (*self.standins, *self.hosts):
            await part.close()

    def _list_addresses(self, region: str) -> tuple[tuple[str, int], ...]:
        entries = zip(self._deployment.entry_hosts, self.hosts, strict=True)
        return tuple(
            (ADDRESS, host.port) for entry, host in entries if entry.region == region
        )

    async def _is_complete(self) -> bool:
        for host, entry in zip(self.hosts, self._deployment.entry_hosts, strict=True):
            known = len(await host.router.ask(ListEndpoints()))
            expected = [
                endpoint
                for endpoint in self._deployment.endpoints
                if endpoint.region == entry.region
            ]
            answer = await host.router.ask(ListHosts(entry.region))
            if known < len(expected) or len(answer.hosts) < len(self.hosts):
                return False
        return True


def _create_settings(
    deployment: Deployment, entry: LocalHost, data_directory: str, peer_key: str
) -> EntrySettings:
    return EntrySettings(
        host=entry.host,
        region=entry.region,
        failure_domain=entry.failure_domain,
        listen=Address(port=entry.port),
        peer_listen=Address(port=entry.peer_port),
        seeds=tuple(Address(port=each.peer_port) for each in deployment.entry_hosts),
        control_hosts=(PeerAddress(host="control-1", port=entry.port),),
        peer_keys=(peer_key,),
        data_directory=os.path.join(data_directory, entry.host),
        drain_notice_s=DRAIN_NOTICE_S,
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )


def _create_endpoint(
    endpoint: LocalEndpoint,
    entry_hosts: tuple[tuple[str, int], ...],
    transport: SocketTransport,
) -> Standin:
    settings = StandinSettings(
        endpoint.name,
        endpoint.service,
        endpoint.region,
        endpoint.failure_domain,
        entry_hosts,
    )
    work = StandinEngine(endpoint.models) if endpoint.models else StandinPlain()
    return create_standin(settings, work, transport)


def create_local_deployment(
    data_directory: str, port: int | None = None
) -> LocalDeployment:
    """Return Kelawar's deployment, not started.

    Parameters
    ----------
    data_directory : str
        Directory of the state.
    port : int or None
        0 picks a free port for each host; None takes the ports of the deployment file.
    """
    texts = {name: _read_file(f"{name}.jsonc") for name in (DEPLOYMENT, *SECTIONS)}
    deployment = parse_settings(texts[DEPLOYMENT], Deployment, f"{DEPLOYMENT}.jsonc")
    if port is not None:
        peer_ports = _find_free_ports(len(deployment.entry_hosts))
        hosts = tuple(
            msgspec.structs.replace(entry, port=port, peer_port=peer_port)
            for entry, peer_port in zip(deployment.entry_hosts, peer_ports, strict=True)
        )
        deployment = msgspec.structs.replace(deployment, entry_hosts=hosts)
    view = create_document_view(
        *(parse_section(name, texts[name]) for name in SECTIONS)
    )
    return LocalDeployment(deployment, view, data_directory, create_socket_transport())


def _find_free_ports(count: int) -> list[int]:
    """Return ports that are free now, for hosts that have to know each other's."""
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


async def _serve(deployment: LocalDeployment) -> None:
    await deployment.start()
    print(COMMANDS.format(address=_get_address(deployment.hosts)), flush=True)
    await serve_until_signalled(deployment.hosts)
    await deployment.close()


def main(_: list[str]) -> int | None:
    """Run the deployment until it is signalled."""
    configure_logging("local")
    os.makedirs(FLAGS.data_directory, exist_ok=True)
    try:
        curio.run(_serve, create_local_deployment(FLAGS.data_directory))
    except (SettingsError, DocumentError) as error:
        print(error, file=sys.stderr)
        return SETTINGS_STATUS
    return None


def run() -> None:
    """Entry point of the console script."""
    flags.DEFINE_string("data_directory", "var", "Directory of the state.")
    app.run(main)


if __name__ == "__main__":
    run()
