"""Operator commands: one function each, over the control hosts' HTTP API."""

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
from buckthorndeal.errors import RequestError
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
# Answers of a change are part of the API with these statuses.
CHANGE_STATUSES = (200, 403, 409, 422)

BodyT = TypeVar("BodyT")


async def get_document(client: ControlClient) -> DocumentBody:
    """Return the list of sections."""
    return _decode(await client.request("GET", "/v1/document"), DocumentBody)


async def get_section(client: ControlClient, section: str) -> SectionBody:
    """Return a section's text and revision."""
    answer = await client.request("GET", f"/v1/document/{_quote(section)}")
    return _decode(answer, SectionBody)


async def list_history(
    client: ControlClient, section: str | None, limit: int
) -> HistoryBody:
    """Return accepted changes, newest first."""
    path = f"/v1/document/{_quote(section)}/history" if section else "/v1/history"
    return _decode(await client.request("GET", f"{path}?limit={limit}"), HistoryBody)


async def list_status(client: ControlClient) -> dict[str, StatusBody | None]:
    """Return the status of each control host; None for one that does not answer."""
    async with curio.TaskGroup() as group:
        tasks = {
            host: await group.spawn(_get_status, client, host) for host in client.hosts
        }
    found = {host: task.result for host, task in tasks.items()}
    for answer in found.values():
        if isinstance(answer, RequestError) and answer.status == 401:
            raise answer
    return {
        host: answer if isinstance(answer, StatusBody) else None
        for host, answer in found.items()
    }


async def _get_status(client: ControlClient, host: str) -> StatusBody | RequestError:
    try:
        answer = await client.request_host(host, "GET", "/v1/status")
        return _decode(answer, StatusBody)
    except RequestError as error:
        # A host that lacks the change that made the key valid can be reached, and
        # no revision is known to be in force on it.
        return _create_behind(host) if error.code == "not_leader" else error


def _create_behind(host: str) -> StatusBody:
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
    """File next to an edited text: its base, and the change that was sent."""

    section: str
    base_revision: int
    change_id: str = ""
    text_hash: str = ""


async def edit_section(client: ControlClient, section: str, file: str) -> SectionBody:
    """Write a section's text to `file`, and its revision next to it."""
    body = await get_section(client, section)
    pending = _PendingChange(section=section, base_revision=body.revision)
    replace_file(_name_pending(file), [msgspec.json.encode(pending)])
    replace_file(file, [body.text.encode()])
    return body


async def diff_file(client: ControlClient, file: str) -> DiffAnswer:
    """Compare an edited file with the section in the document."""
    pending, text = _read_edited(file)
    target = f"/v1/document/{_quote(pending.section)}/diff"
    return _decode(
        await client.request("POST", target, DiffBody(text=text)), DiffAnswer
    )


async def apply_file(client: ControlClient, file: str) -> ChangeAnswer:
    """Send an edited file as a change of the section it was made from.

    The change id is stored before the change is sent. After a lost answer the same
    call sends the same change again and gets its first answer.
    """
    pending, text = _read_edited(file)
    text_hash = hash_key(text)
    if not pending.change_id or pending.text_hash != text_hash:
        pending.change_id = secrets.token_hex(16)
        pending.text_hash = text_hash
        replace_file(_name_pending(file), [msgspec.json.encode(pending)])
    body = ChangeBody(
        base_revision=pending.base_revision, change_id=pending.change_id, text=text
    )
    target = f"/v1/document/{_quote(pending.section)}/changes"
    answer = _decode_change(await client.request("POST", target, body))
    _note_answer(file, pending, answer)
    return answer


def _note_answer(file: str, pending: _PendingChange, answer: ChangeAnswer) -> None:
    """Store the new base; a refused change is answered anew when it is sent again."""
    if isinstance(answer, ChangeAccepted):
        pending.base_revision = answer.section_revision
    pending.change_id = ""
    replace_file(_name_pending(file), [msgspec.json.encode(pending)])


async def rotate_key(
    create_client: Callable[[str], ControlClient], key_file: str
) -> ChangeAnswer:
    """Replace the key in `key_file` by a new one.

    The new key is stored next to the old one before it is sent. After a lost answer
    the same call sends the same rotation again.

    Parameters
    ----------
    create_client : callable
        Returns a client that uses the given key.
    key_file : str
        File that holds the team's key.
    """
    old_key = read_key(key_file)
    content = _prepare_rotation(f"{key_file}.pending", old_key)
    body = RotationBody(
        change_id=content["change_id"], new_hash=hash_key(content["key"])
    )
    client = create_client(old_key)
    try:
        answer = _decode_change(await client.request("POST", "/v1/keys/rotation", body))
    finally:
        await client.close()
    if isinstance(answer, ChangeAccepted):
        replace_file(key_file, [f"{content['key']}\n".encode()], KEY_FILE_MODE)
    os.remove(f"{key_file}.pending")
    return answer


def _prepare_rotation(file: str, old_key: str) -> dict[str, str]:
    if os.path.exists(file):
        with open(file, encoding="utf-8") as stream:
            content = json.load(stream)
        # An equal key means that the last rotation ended before its cleanup.
        if content["key"] != old_key:
            return content
    content = {
        "change_id": secrets.token_hex(16),
        "key": secrets.token_hex(KEY_BYTES),
    }
    replace_file(file, [json.dumps(content).encode()], KEY_FILE_MODE)
    return content


@dataclass
class InForceReport:
    """Hosts by whether a revision is in force on them.

    Parameters
    ----------
    in_force : list of str
        Hosts that have the revision or a later one.
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
    """Wait until `revision` is in force on every host that can be reached."""
    report = InForceReport([], [], list(client.hosts))
    async with curio.ignore_after(timeout_s):
        while True:
            report = _create_report(await list_status(client), revision)
            if not report.behind and report.in_force:
                break
            await curio.sleep(POLL_PAUSE_S)
    return report


def _create_report(
    statuses: dict[str, StatusBody | None], revision: int
) -> InForceReport:
    """Merge what the control hosts know; the newest report of a host counts."""
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
    """Return the key in a file."""
    with open(key_file, encoding="utf-8") as stream:
        return stream.read().strip()


def _read_edited(file: str) -> tuple[_PendingChange, str]:
    try:
        with open(_name_pending(file), "rb") as stream:
            pending = msgspec.json.decode(stream.read(), type=_PendingChange)
    except (FileNotFoundError, msgspec.MsgspecError) as error:
        raise RequestError(
            "not_edited", 400, f"{file} was not made by the command 'edit'"
        ) from error
    with open(file, encoding="utf-8", newline="") as stream:
        return pending, stream.read()


def _name_pending(file: str) -> str:
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
    except msgspec.MsgspecError as error:
        raise RequestError(
            "bad_answer", 502, f"answer that cannot be read: {error}"
        ) from error
