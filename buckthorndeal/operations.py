"""Operations on the operating document through the control hosts' HTTP API."""

import json
import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import curio
import msgspec

from buckthorndeal._files import replace_file
from buckthorndeal._operations_client import (
    ControlClient,
    create_control_client,
    decode_error,
)
from buckthorndeal.authentication import hash_key
from buckthorndeal.control._models import (
    ChangeBody,
    DiffAnswer,
    DiffBody,
    DocumentBody,
    HistoryBody,
    HostStatus,
    RotationBody,
    SectionBody,
    StatusBody,
)
from buckthorndeal.errors import DECODING_ERRORS, RequestError
from buckthorndeal.statemachine import (
    ChangeAccepted,
    ChangeAnswer,
)

__all__ = [
    "ControlClient",
    "InForceReport",
    "apply_file",
    "create_control_client",
    "diff_file",
    "edit_section",
    "get_document",
    "get_section",
    "list_history",
    "list_status",
    "read_key",
    "rotate_key",
    "wait_in_force",
]

POLL_PAUSE_S = 0.2
KEY_BYTES = 32
KEY_FILE_MODE = 0o600
# Statuses with which the body of the response to a change is a `ChangeAnswer`.
CHANGE_STATUSES = (200, 403, 409, 422)

BodyT = TypeVar("BodyT")


async def get_document(client: ControlClient) -> DocumentBody:
    """Return the revision of the document and the list of its sections."""
    return _decode(await client.request("GET", "/v1/document"), DocumentBody)


async def get_section(client: ControlClient, section: str) -> SectionBody:
    """Return a section's text and revision."""
    answer = await client.request("GET", f"/v1/document/{_quote(section)}")
    return _decode(answer, SectionBody)


async def list_history(
    client: ControlClient, section: str | None, limit: int
) -> HistoryBody:
    """Return at most `limit` accepted changes, newest first.

    Parameters
    ----------
    client : ControlClient
        Client of the control hosts.
    section : str or None
        Section whose changes are returned; None for all sections.
    limit : int
        Maximum number of changes.
    """
    path = f"/v1/document/{_quote(section)}/history" if section else "/v1/history"
    return _decode(await client.request("GET", f"{path}?limit={limit}"), HistoryBody)


async def list_status(client: ControlClient) -> dict[str, StatusBody | None]:
    """Return the status of each control host; None for a host that does not respond.

    Raises
    ------
    RequestError
        If a host does not accept the key.
    """
    async with curio.TaskGroup() as group:
        tasks = {
            host: await group.spawn(_get_status, client, host) for host in client.hosts
        }
    results = {host: task.result for host, task in tasks.items()}
    for result in results.values():
        if isinstance(result, RequestError) and result.status == 401:
            raise result
    return {
        host: result if isinstance(result, StatusBody) else None
        for host, result in results.items()
    }


async def _get_status(client: ControlClient, host: str) -> StatusBody | RequestError:
    try:
        answer = await client.request_host(host, "GET", "/v1/status")
        return _decode(answer, StatusBody)
    except RequestError as error:
        # A host that does not have the change that made the key valid yet responds
        # with `not_leader`. It can be reached, but its revision is not known.
        return _create_lagging_status(host) if error.code == "not_leader" else error


def _create_lagging_status(host: str) -> StatusBody:
    own = HostStatus(host=host, kind="control", revision=0, reachable=True)
    return StatusBody(
        host=host,
        role="behind",
        leader=None,
        term=0,
        revision=0,
        hosts=[own],
        members=[],
        leases=[],
        views=[],
    )


class _PendingChange(msgspec.Struct, kw_only=True):
    """Content of the file next to an edited text.

    Parameters
    ----------
    section : str
        Name of the edited section.
    base_revision : int
        Revision of the section that was edited.
    change_id : str
        Id of a change that was sent and not answered yet; empty if there is none.
    text_hash : str
        Hash of the text that was sent with this id.
    """

    section: str
    base_revision: int
    change_id: str = ""
    text_hash: str = ""


async def edit_section(client: ControlClient, section: str, file: str) -> SectionBody:
    """Write a section's text to `file`, and its revision to a file next to it."""
    body = await get_section(client, section)
    pending = _PendingChange(section=section, base_revision=body.revision)
    replace_file(_get_pending_path(file), [msgspec.json.encode(pending)])
    replace_file(file, [body.text.encode()])
    return body


async def diff_file(client: ControlClient, file: str) -> DiffAnswer:
    """Compare an edited file with the current text of its section."""
    pending, text = _read_edited(file)
    target = f"/v1/document/{_quote(pending.section)}/diff"
    return _decode(
        await client.request("POST", target, DiffBody(text=text)), DiffAnswer
    )


async def apply_file(client: ControlClient, file: str) -> ChangeAnswer:
    """Send an edited file as a change of its section.

    The change id is stored before the change is sent. If the response is lost, a
    second call sends the same change with the same id and gets the answer that the
    first one got.
    """
    pending, text = _read_edited(file)
    text_hash = hash_key(text)
    if not pending.change_id or pending.text_hash != text_hash:
        pending.change_id = secrets.token_hex(16)
        pending.text_hash = text_hash
        replace_file(_get_pending_path(file), [msgspec.json.encode(pending)])
    body = ChangeBody(
        base_revision=pending.base_revision, change_id=pending.change_id, text=text
    )
    target = f"/v1/document/{_quote(pending.section)}/changes"
    answer = _decode_change(await client.request("POST", target, body))
    _store_answer(file, pending, answer)
    return answer


def _store_answer(file: str, pending: _PendingChange, answer: ChangeAnswer) -> None:
    """Store the new base revision and clear the id of the answered change.

    A refused change gets a new id when it is sent again, so that it is checked again.
    """
    if isinstance(answer, ChangeAccepted):
        pending.base_revision = answer.section_revision
    pending.change_id = ""
    replace_file(_get_pending_path(file), [msgspec.json.encode(pending)])


async def rotate_key(
    create_client: Callable[[str], ControlClient], key_file: str
) -> ChangeAnswer:
    """Replace the key in `key_file` by a new one.

    The new key is stored in a file next to `key_file` before its hash is sent. If the
    response is lost, a second call sends the same rotation again.

    Parameters
    ----------
    create_client : callable
        Returns a client that uses the given key.
    key_file : str
        Path of the file that holds the team's key.
    """
    old_key = read_key(key_file)
    rotation = _prepare_rotation(f"{key_file}.pending", old_key)
    body = RotationBody(
        change_id=rotation["change_id"], new_hash=hash_key(rotation["key"])
    )
    client = create_client(old_key)
    try:
        answer = _decode_change(await client.request("POST", "/v1/keys/rotation", body))
    finally:
        await client.close()
    if isinstance(answer, ChangeAccepted):
        replace_file(key_file, [f"{rotation['key']}\n".encode()], KEY_FILE_MODE)
    os.remove(f"{key_file}.pending")
    return answer


def _prepare_rotation(file: str, old_key: str) -> dict[str, str]:
    """Return the unfinished rotation stored in `file`, or store a new one there."""
    if os.path.exists(file):
        with open(file, encoding="utf-8") as stream:
            rotation = json.load(stream)
        # If its key is already in use, the last rotation was accepted, and the
        # process ended before it removed the file.
        if rotation["key"] != old_key:
            return rotation
    rotation = {
        "change_id": secrets.token_hex(16),
        "key": secrets.token_hex(KEY_BYTES),
    }
    replace_file(file, [json.dumps(rotation).encode()], KEY_FILE_MODE)
    return rotation


@dataclass
class InForceReport:
    """Hosts grouped by whether a revision is in force on them.

    Parameters
    ----------
    in_force : list of str
        Hosts that can be reached and have the revision or a later one.
    behind : list of str
        Hosts that can be reached and have an earlier revision.
    unreachable : list of str
        Hosts that cannot be reached.
    """

    in_force: list[str]
    behind: list[str]
    unreachable: list[str]


async def wait_in_force(
    client: ControlClient, revision: int, timeout_s: float
) -> InForceReport:
    """Wait until `revision` is in force on every host that can be reached.

    Parameters
    ----------
    client : ControlClient
        Client of the control hosts.
    revision : int
        Revision of the document.
    timeout_s : float
        Maximum wait in seconds.

    Returns
    -------
    InForceReport
        State of the hosts at the end of the wait.
    """
    report = InForceReport([], [], list(client.hosts))
    async with curio.ignore_after(timeout_s):
        while True:
            report = _group_hosts(await list_status(client), revision)
            if not report.behind and report.in_force:
                break
            await curio.sleep(POLL_PAUSE_S)
    return report


def _group_hosts(
    statuses: dict[str, StatusBody | None], revision: int
) -> InForceReport:
    """Group all hosts in the statuses of the control hosts by their revision.

    If several control hosts list a host, an entry that it can be reached takes
    precedence, and then the entry with the highest revision.
    """
    merged: dict[str, HostStatus] = {}
    for name, status in statuses.items():
        if status is None:
            merged.setdefault(
                name, HostStatus(host=name, kind="control", revision=0, reachable=False)
            )
            continue
        for host in status.hosts:
            known = merged.get(host.host)
            if known is None or (host.reachable, host.revision) > (
                known.reachable,
                known.revision,
            ):
                merged[host.host] = host
    report = InForceReport([], [], [])
    for name, host in sorted(merged.items()):
        if not host.reachable:
            report.unreachable.append(name)
        elif host.revision >= revision:
            report.in_force.append(name)
        else:
            report.behind.append(name)
    return report


def read_key(key_file: str) -> str:
    """Return the key stored in a file."""
    with open(key_file, encoding="utf-8") as stream:
        return stream.read().strip()


def _read_edited(file: str) -> tuple[_PendingChange, str]:
    """Return the pending change and the text of an edited file."""
    try:
        with open(_get_pending_path(file), "rb") as stream:
            pending = msgspec.json.decode(stream.read(), type=_PendingChange)
    except (FileNotFoundError, *DECODING_ERRORS) as error:
        raise RequestError(
            "not_edited", 400, f"{file} was not created by the command 'edit'"
        ) from error
    with open(file, encoding="utf-8", newline="") as stream:
        return pending, stream.read()


def _get_pending_path(file: str) -> str:
    return f"{file}.change"


def _quote(section: str) -> str:
    return quote(section, safe="")


def _decode(answer: tuple[int, bytes], model: type[BodyT]) -> BodyT:
    status, data = answer
    if status != 200:
        error = decode_error(data)
        raise RequestError(error.code, status, error.message)
    return _decode_body(data, model)


def _decode_change(answer: tuple[int, bytes]) -> ChangeAnswer:
    status, data = answer
    if status not in CHANGE_STATUSES or data.startswith(b'{"error"'):
        error = decode_error(data)
        raise RequestError(error.code, status, error.message)
    return _decode_body(data, ChangeAnswer)


def _decode_body(data: bytes, model: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=model)
    except DECODING_ERRORS as error:
        raise RequestError(
            "bad_answer", 502, f"the response body cannot be decoded: {error}"
        ) from error
