"""Operator HTTP API of the control daemon."""

import re
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from buckthorndeal.authentication import hash_bearer
from buckthorndeal.control import _models as models
from buckthorndeal.control import _requests as requests
from buckthorndeal.control._subscriptions import ListSubscribers
from buckthorndeal.document import Document, create_diff
from buckthorndeal.errors import (
    DECODING_ERRORS,
    ForbiddenError,
    NotLeaderError,
    RequestError,
    ValidationError,
    Verdict,
)
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.statemachine import (
    ChangeAccepted,
    ChangeAnswer,
    ChangeConflict,
    ChangeForbidden,
    ChangeInvalid,
)

# Shorter than the timeout of the operator commands, so that they receive the 504
# response instead of timing out.
COMMIT_TIMEOUT_S = 4.0
MAX_HISTORY = 1_000
CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{8,64}")

Route = Callable[..., Awaitable[None]]


class ControlApi:
    """Serves the HTTP requests of operators.

    Parameters
    ----------
    host : str
        Name of this host.
    replica, subscriptions : Mailbox
        Mailboxes of the tasks that own the replica and the subscriptions.
    """

    def __init__(self, host: str, replica: Mailbox, subscriptions: Mailbox) -> None:
        self.draining = False
        self._host = host
        self._replica = replica
        self._subscriptions = subscriptions
        section = r"/v1/document/([^/?]+)"
        self._routes: list[tuple[str, re.Pattern, Route]] = [
            ("GET", re.compile(r"/healthz"), self._get_health),
            ("GET", re.compile(r"/readyz"), self._get_ready),
            ("GET", re.compile(r"/v1/document"), self._get_document),
            ("GET", re.compile(section), self._get_section),
            ("POST", re.compile(f"{section}/changes"), self._change_section),
            ("POST", re.compile(f"{section}/diff"), self._diff_section),
            ("GET", re.compile(f"{section}/history"), self._get_history),
            ("GET", re.compile(r"/v1/history"), self._get_history),
            ("GET", re.compile(r"/v1/status"), self._get_status),
            ("POST", re.compile(r"/v1/keys/rotation"), self._rotate_key),
        ]

    async def handle(self, request: Request, responder: Responder) -> None:
        """Dispatch a request to its route and respond.

        Raises
        ------
        RequestError
            If there is no such route, the key is not valid or the request is refused.
        """
        for method, pattern, route in self._routes:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                await self._call_route(route, request, responder, match.groups())
                return
        raise RequestError(
            "not_found", 404, f"no route for {request.method} {request.path}"
        )

    async def _call_route(
        self, route: Route, request: Request, responder: Responder, groups: tuple
    ) -> None:
        try:
            await route(request, responder, *(unquote(group) for group in groups))
        except NotLeaderError as error:
            body = models.ApiError(
                code="not_leader",
                message=str(error),
                retry_after_s=1.0,
                leader=error.leader,
            )
            await responder.respond_json(503, models.ApiErrorBody(error=body))
        except ForbiddenError as error:
            raise RequestError("unauthorized", 401, str(error)) from error

    async def _get_health(self, request: Request, responder: Responder) -> None:
        await responder.respond(200, b"ok\n", "text/plain")

    async def _get_ready(self, request: Request, responder: Responder) -> None:
        state = await self._read_state(confirmed=False)
        ready = not self.draining and state.leader is not None
        text = b"ready\n" if ready else b"not ready\n"
        await responder.respond(200 if ready else 503, text, "text/plain")

    async def _get_document(self, request: Request, responder: Responder) -> None:
        document = await self._read_document(request)
        sections = [
            models.SectionSummary(
                section=name, revision=entry.revision, owner=_find_owner(document, name)
            )
            for name, entry in sorted(document.sections.items())
        ]
        body = models.DocumentBody(revision=document.revision, sections=sections)
        await responder.respond_json(200, body)

    async def _get_section(
        self, request: Request, responder: Responder, section: str
    ) -> None:
        document = await self._read_document(request)
        known = section in document.sections
        if not known and not _find_owner(document, section):
            raise RequestError("not_found", 404, f"section {section!r} does not exist")
        body = models.SectionBody(
            section=section,
            revision=document.get_revision(section),
            document_revision=document.revision,
            text=document.get_text(section),
        )
        await responder.respond_json(200, body)

    async def _change_section(
        self, request: Request, responder: Responder, section: str
    ) -> None:
        key_hash = hash_bearer(request.headers.get("authorization"))
        body = _decode_body(request.body, models.ChangeBody)
        _check_change_id(body.change_id)
        answer = await self._commit(
            requests.ChangeRequest(
                key_hash, section, body.base_revision, body.change_id, body.text
            )
        )
        await responder.respond_json(get_http_status(answer), answer)

    async def _diff_section(
        self, request: Request, responder: Responder, section: str
    ) -> None:
        document = await self._read_document(request)
        text = _decode_body(request.body, models.DiffBody).text
        revision = document.get_revision(section)
        names = (f"{section}@{revision}", "edited")
        answer = models.DiffAnswer(
            section=section,
            revision=revision,
            diff=create_diff(document.get_text(section), text, *names),
        )
        try:
            document.replace_section(section, text)
        except ValidationError as error:
            answer.invalid = str(error)
        await responder.respond_json(200, answer)

    async def _get_history(
        self, request: Request, responder: Responder, section: str | None = None
    ) -> None:
        await self._read_document(request)
        limit = _parse_limit(request)
        entries = await self._replica.ask(requests.ReadHistory(section, limit))
        items = [
            models.HistoryItem(
                revision=entry.revision,
                section=entry.section,
                section_revision=entry.section_revision,
                author=entry.author,
                change_id=entry.change_id,
                time_s=entry.time_s,
                diff=entry.diff,
            )
            for entry in entries
        ]
        await responder.respond_json(200, models.HistoryBody(entries=items))

    async def _get_status(self, request: Request, responder: Responder) -> None:
        state = await self._read_state(confirmed=False)
        _authenticate(request, state)
        subscribers = await self._subscriptions.ask(ListSubscribers())
        own_status = models.HostStatus(
            host=self._host,
            kind="control",
            revision=state.document.revision,
            reachable=True,
        )
        body = models.StatusBody(
            host=self._host,
            role=state.role,
            leader=state.leader,
            term=state.term,
            revision=state.document.revision,
            hosts=[own_status, *subscribers],
            members=state.members,
            leases=list(state.leases.values()),
            views=[
                models.ViewBody(
                    region=region,
                    epoch=view.epoch,
                    primary=view.primary,
                    backup=view.backup,
                )
                for region, view in sorted(state.views.items())
            ],
        )
        await responder.respond_json(200, body)

    async def _rotate_key(self, request: Request, responder: Responder) -> None:
        old_hash = hash_bearer(request.headers.get("authorization"))
        body = _decode_body(request.body, models.RotationBody)
        _check_change_id(body.change_id)
        if not re.fullmatch(r"[0-9a-f]{64}", body.new_hash):
            raise RequestError(
                "bad_request", 400, "new_hash: expected 64 hexadecimal digits"
            )
        answer = await self._commit(
            requests.RotationRequest(body.change_id, old_hash, body.new_hash)
        )
        await responder.respond_json(get_http_status(answer), answer)

    async def _commit(self, message: object) -> ChangeAnswer:
        try:
            async with curio.timeout_after(COMMIT_TIMEOUT_S):
                return await self._replica.ask(message)
        except curio.TaskTimeout:
            raise RequestError(
                "outcome_unknown",
                504,
                f"not committed within {COMMIT_TIMEOUT_S:g} s; "
                "send the change again with the same change id",
                Verdict.MAY_HAVE_RUN,
                retry_after_s=1.0,
            ) from None

    async def _read_state(self, confirmed: bool) -> requests.ControlState:
        return await self._replica.ask(requests.ReadState(confirmed))

    async def _read_document(self, request: Request) -> Document:
        """Authenticate the request and return the document.

        Only a leader with a valid lease answers, unless the query has ``local=1``.
        """
        state = await self._read_state(
            confirmed=_get_query_value(request, "local") != "1"
        )
        _authenticate(request, state)
        return state.document


@singledispatch
def get_http_status(answer: object) -> int:
    """Return the HTTP status code for the outcome of a change."""
    raise TypeError(f"unknown answer {type(answer).__name__}")


get_http_status.register(ChangeAccepted, lambda answer: 200)
get_http_status.register(ChangeForbidden, lambda answer: 403)
get_http_status.register(ChangeConflict, lambda answer: 409)
get_http_status.register(ChangeInvalid, lambda answer: 422)


def _authenticate(request: Request, state: requests.ControlState) -> None:
    key_hash = hash_bearer(request.headers.get("authorization"))
    if state.document.find_team(key_hash) is not None:
        return
    if not (state.is_confirmed and state.document.revision):
        # This host may not have applied the change that added the key yet.
        raise NotLeaderError(state.leader)
    raise ForbiddenError("the key is not valid")


def _get_query_value(request: Request, name: str) -> str:
    values = parse_qs(request.target.partition("?")[2]).get(name, [""])
    return values[0]


def _parse_limit(request: Request) -> int:
    value = _get_query_value(request, "limit") or "20"
    if not value.isdigit():
        raise RequestError("bad_request", 400, f"limit: {value!r} is not a number")
    return min(int(value), MAX_HISTORY)


def _check_change_id(change_id: str) -> None:
    if not CHANGE_ID.fullmatch(change_id):
        raise RequestError(
            "bad_request",
            400,
            "change_id: expected 8 to 64 letters, digits, '_' or '-'",
        )


def _decode_body(data: bytes, model: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=model)
    except DECODING_ERRORS as error:
        raise RequestError("bad_request", 400, str(error)) from error


def _find_owner(document: Document, section: str) -> str:
    teams = document.teams.teams if document.teams else {}
    owners = (name for name, team in teams.items() if section in team.sections)
    return next(owners, "")
