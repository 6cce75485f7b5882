"""Settings of the daemons: validated models of files in JSON with comments."""

import re
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from buckthorndeal._json_text import parse_json
from buckthorndeal.errors import SettingsError

__all__ = [
    "Address",
    "ControlSettings",
    "CoordinatorSettings",
    "EntrySettings",
    "FaultToleranceSettings",
    "GatewaySettings",
    "Limits",
    "PeerAddress",
    "QuotaSettings",
    "RetryBudgetSettings",
    "load_settings",
    "parse_settings",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
IpAddress = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
PeerKey = Annotated[str, Meta(pattern=r"^[0-9a-f]{32,128}$")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
# Strategies other than "ours" are baselines for benchmarks.
Strategy = Literal["ours", "round_robin", "random", "least_load", "local_only"]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Meta(ge=1, le=1 << 30)]
MemorySize = Annotated[int, Meta(ge=1 << 26, le=1 << 40)]


class Address(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Address and port to listen on or to connect to."""

    address: IpAddress = "127.0.0.1"
    port: Port


class PeerAddress(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Name, address and port of a host."""

    host: Name
    address: IpAddress = "127.0.0.1"
    port: Port


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Limits of the HTTP listener; sizes in bytes, times in seconds.

    A chunked body may have `max_chunk_framing_bytes` besides its content, and
    `max_chunk_framing_per_byte` more for each byte of it. A body that brings no byte
    for `body_pause_s` is refused. Requests whose body is not complete keep up to
    `incomplete_share` of the connections; those beyond it that have been silent for
    the longest time, or are the slowest, are refused. Time in which a body in many
    chunks waits for its decoding does not count for `body_timeout_s`, but is bounded by
    the same number of seconds. A response of which a caller takes nothing for
    `send_pause_s` ends with its connection.
    """

    max_header_bytes: ByteCount = 16_384
    max_body_bytes: ByteCount = 4_194_304
    header_timeout_s: PositiveSeconds = 5.0
    body_timeout_s: PositiveSeconds = 20.0
    idle_timeout_s: PositiveSeconds = 60.0
    max_connections: PositiveCount = 4096
    max_connections_per_endpoint: PositiveCount = 256
    max_header_lines: PositiveCount = 1024
    max_chunk_framing_bytes: ByteCount = 65_536
    max_chunk_framing_per_byte: PositiveCount = 16
    body_pause_s: PositiveSeconds = 10.0
    send_pause_s: PositiveSeconds = 20.0
    incomplete_share: Annotated[float, Meta(gt=0, le=1)] = 0.5


class EntrySettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of the entry host daemon.

    `seeds` are peer addresses of entry hosts to contact first; the others are
    discovered through them. A draining host still accepts connections for
    `drain_notice_s`, so that callers that use an older directory answer are served.
    It waits until each running request has ended or reached its deadline; requests
    that take longer than `drain_timeout_s` are logged and not aborted. The stored
    answer of a request is reduced to its fingerprint after `answer_retention_s`.

    The process may use `memory_bytes`; messages of others hold what it does not need
    itself. Without it, they may hold 64 MiB.
    """

    host: Name
    region: Name
    failure_domain: Name
    listen: Address
    peer_listen: Address
    control_hosts: Annotated[tuple[PeerAddress, ...], Meta(min_length=1)]
    seeds: tuple[Address, ...] = ()
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    data_directory: str | None = None
    document_directory: str | None = None
    limits: Limits = Limits()
    drain_timeout_s: PositiveSeconds = 30.0
    drain_notice_s: PositiveSeconds = 3.0
    answer_retention_s: PositiveSeconds = 86_400.0
    strategy: Strategy = "ours"
    memory_bytes: MemorySize | None = None


class ControlSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of the control daemon.

    `voters` are the hosts that vote when the cluster is created. `learners` are hosts
    that replicate the log without a vote; one of them is promoted when a voter has
    been without contact for `promote_after_s`.

    The process may use `memory_bytes`; messages of others hold what it does not need
    itself. Without it, they may hold 64 MiB.
    """

    host: Name
    region: Name
    failure_domain: Name
    listen: Address
    peer_listen: Address
    voters: Annotated[tuple[PeerAddress, ...], Meta(min_length=1, max_length=7)]
    learners: tuple[PeerAddress, ...] = ()
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    data_directory: str | None = None
    initial_document: str | None = None
    limits: Limits = Limits()
    promote_after_s: PositiveSeconds = 30.0
    memory_bytes: MemorySize | None = None


class QuotaSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Bound on what a workspace with a quota may use, over all hosts.

    In any `window_s` seconds it may use what its quota allows in them, the part
    `overage` of that, and `slack` units. All gateways and coordinators need the same
    values.
    """

    window_s: Annotated[float, Meta(ge=1, le=3_600)] = 8.0
    overage: Annotated[float, Meta(ge=0, le=10)] = 0.1
    slack: Annotated[float, Meta(ge=0, le=1e12)] = 0.0


class FaultToleranceSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """What may be lost at the same time: hosts, or failure domains, or regions.

    `hosts` are coordinators that may lose their disks: changes need twice as many
    voters and one more, as far as the deployment has so many. All coordinators need the
    same values.
    """

    hosts: Annotated[int, Meta(ge=0, le=100)] = 1
    failure_domains: Annotated[int, Meta(ge=0, le=100)] = 0
    regions: Annotated[int, Meta(ge=0, le=100)] = 0


class CoordinatorSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of the coordinator daemon.

    `seeds` are peer addresses of coordinators to contact first; the others are
    discovered through them. With `bootstrap`, the seeds form a new cluster; it must
    be false for a host that has lost its store. `regions` maps each failure domain
    to its region. An endpoint without heartbeats for `endpoint_silence_s` is
    removed. Callers may use a directory answer for `directory_lifetime_s`. A drain
    waits up to `drain_timeout_s` for running requests.

    The process may use `memory_bytes`; messages of others hold what it does not need
    itself. Without it, they may hold 64 MiB.
    """

    host: Name
    region: Name
    failure_domain: Name
    peer_listen: Address
    api_listen: Address
    directory_listen: Address
    metrics_listen: Address | None = None
    seeds: tuple[Address, ...]
    regions: dict[Name, Name]
    bootstrap: bool = False
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    data_directory: str | None = None
    limits: Limits = Limits()
    endpoint_silence_s: PositiveSeconds = 6.0
    directory_lifetime_s: PositiveSeconds = 1.5
    drain_timeout_s: PositiveSeconds = 30.0
    quota: QuotaSettings = QuotaSettings()
    fault_tolerance: FaultToleranceSettings = FaultToleranceSettings()
    memory_bytes: MemorySize | None = None


class RetryBudgetSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Limit of the retries that all hosts together may send to a service.

    In each `window_s` seconds, there may be `share` retries per request, plus
    `slack` retries.
    """

    share: Annotated[float, Meta(ge=0, le=10)] = 0.2
    slack: Annotated[float, Meta(ge=0, le=1_000_000)] = 50.0
    window_s: PositiveSeconds = 10.0


class GatewaySettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of the gateway daemon.

    `seeds` are peer addresses of coordinators to contact first. `forward_listen` is
    the address for requests that other entry hosts forward.

    A draining host accepts new requests for `drain_notice_s`, or longer while the
    directory has no other host for some routes with home regions: new streams for up
    to `drain_stream_s`, other requests for up to `drain_alone_s`. It waits up to
    `drain_timeout_s` for running requests. Each of these times starts with the drain.

    The process may use `memory_bytes`; messages of others hold what it does not need
    itself. Without it, they may hold 64 MiB.
    """

    host: Name
    region: Name
    failure_domain: Name
    listen: Address
    ready_listen: Address
    forward_listen: Address
    peer_listen: Address
    metrics_listen: Address | None = None
    seeds: Annotated[tuple[Address, ...], Meta(min_length=1)]
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    heartbeat_interval_s: PositiveSeconds = 1.0
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    quota: QuotaSettings = QuotaSettings()
    drain_timeout_s: PositiveSeconds = 30.0
    drain_notice_s: PositiveSeconds = 3.0
    drain_stream_s: PositiveSeconds = 8.0
    drain_alone_s: PositiveSeconds = 15.0
    max_connections: PositiveCount = 4096
    memory_bytes: MemorySize | None = None


ModelT = TypeVar("ModelT")


def load_settings(file: str, model: type[ModelT]) -> ModelT:
    """Read and validate a settings file.

    Parameters
    ----------
    file : str
        Path of a file in JSON with comments.
    model : type
        Settings model such as `EntrySettings`.

    Returns
    -------
    object
        Instance of `model`.

    Raises
    ------
    SettingsError
        If the file cannot be read, parsed or validated.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except OSError as error:
        raise SettingsError(file, "$", None, error.strerror or str(error)) from error
    except UnicodeDecodeError as error:
        raise SettingsError(file, "$", None, f"UTF-8 text ({error})") from error
    return parse_settings(text, model, file)


def parse_settings(text: str, model: type[ModelT], file: str) -> ModelT:
    """Validate settings text.

    Parameters
    ----------
    text : str
        JSON with comments.
    model : type
        Settings model.
    file : str
        File name for error messages.

    Returns
    -------
    object
        Instance of `model`.

    Raises
    ------
    SettingsError
        If the text cannot be parsed or validated.
    """
    try:
        raw = parse_json(text)
    except ValueError as error:
        raise SettingsError(file, "$", None, f"valid JSON ({error})") from error
    try:
        return msgspec.convert(raw, model, strict=True)
    except msgspec.ValidationError as error:
        reason, path = split_validation_error(str(error))
        raise SettingsError(file, path, find_value(raw, path), reason) from error


def split_validation_error(message: str) -> tuple[str, str]:
    """Split a message of msgspec into the reason and the path of the value."""
    match = re.fullmatch(r"(.*?)(?: - at `(?:key in )?(.*)`)?", message, re.DOTALL)
    return match.group(1), match.group(2) or "$"


def find_value(raw: Any, path: str) -> Any:
    """Return the value at a path given by msgspec, or None if there is no such value.

    msgspec writes ``[...]`` in place of a mapping's key; the value behind it cannot
    be found.
    """
    for key, index in re.findall(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]", path):
        try:
            raw = raw[key] if key else raw[int(index)]
        except (KeyError, IndexError, TypeError, ValueError):
            return None
    return raw
