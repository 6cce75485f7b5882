"""Parses and validates an HTTP request into a `Call`."""

import re
from collections.abc import Callable

import msgspec

from buckthorndeal.authentication import Identity
from buckthorndeal.entry._messages import Call, DocumentView
from buckthorndeal.errors import DECODING_ERRORS, AuthenticationError, RequestError
from buckthorndeal.forwarding import (
    ForwardedRequest,
    ReplayGuard,
    is_forwarded,
    verify_request,
)
from buckthorndeal.http_server import Request
from buckthorndeal.sections import Service

CHAT_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/services/"
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
MAX_DEADLINE_MS = 3_600_000
MAX_RESUME_TOKEN = 1 << 31


def read_forwarding(
    request: Request, keys: tuple[bytes, ...], guard: ReplayGuard, wall_s: float
) -> ForwardedRequest | None:
    """Verify the signature of a request that another entry host forwarded.

    Parameters
    ----------
    request : Request
        The HTTP request.
    keys : tuple of bytes
        Keys of which one must have signed the request.
    guard : ReplayGuard
        Rejects requests that are late or were received before.
    wall_s : float
        Seconds since the epoch.

    Returns
    -------
    ForwardedRequest or None
        The forwarding headers; None for a request that comes from a caller.

    Raises
    ------
    RequestError
        With status 403 if the signature is not valid, or if the request is late or
        was received before.
    """
    if not is_forwarded(request.headers):
        return None
    try:
        forwarded = verify_request(
            request.headers, request.method, request.target, request.body, keys
        )
        guard.check(forwarded, wall_s)
    except AuthenticationError as error:
        raise RequestError("forbidden", 403, str(error)) from error
    return forwarded


def read_request_id(request: Request, create_id: Callable[[], str]) -> str:
    """Return the caller's request id, or a new one if it is absent.

    Raises
    ------
    RequestError
        With status 400 if the request id is malformed.
    """
    value = request.headers.get("buckthorndeal-request-id")
    if value is None:
        return create_id()
    if not REQUEST_ID_PATTERN.fullmatch(value):
        raise RequestError(
            "bad_request",
            400,
            "the request id must be 1 to 128 letters, digits, '.', '_' or '-'",
        )
    return value


def identify(
    request: Request, forwarded: ForwardedRequest | None, document: DocumentView
) -> Identity:
    """Return the workspace that a request belongs to.

    Raises
    ------
    RequestError
        With status 401 if the bearer key or the forwarded workspace is not known.
    """
    if forwarded is not None:
        return document.authenticator.find_workspace(forwarded.workspace)
    return document.authenticator.authenticate(request.headers.get("authorization"))


def parse_call(
    request: Request,
    request_id: str,
    identity: Identity,
    forwarded: ForwardedRequest | None,
    document: DocumentView,
    now_s: float,
) -> Call:
    """Return the call that a request describes.

    Parameters
    ----------
    request : Request
        The HTTP request.
    request_id : str
        Id that the caller sees.
    identity : Identity
        Workspace of the request.
    forwarded : ForwardedRequest or None
        Forwarding headers, if another entry host sent the request.
    document : DocumentView
        Active configuration sections.
    now_s : float
        Monotonic time in seconds; the deadline is relative to it.

    Raises
    ------
    RequestError
        With status 400, 404 or 405 if the request is not valid.
    """
    if request.path == CHAT_PATH:
        parts = _parse_chat(request, document)
    else:
        parts = _parse_plain(request, document)
    service: Service = parts["service"]
    deadline_s = now_s + _read_deadline_s(request, service, forwarded)
    if forwarded is not None:
        parts |= {
            "origin": forwarded.origin,
            "hops": forwarded.hops,
            "crossed": forwarded.crossed,
        }
    return Call(
        request_id=request_id,
        identity=identity,
        method=request.method,
        target=request.target,
        body=request.body,
        content_type=request.headers.get("content-type", ""),
        deadline_s=deadline_s,
        document=document,
        **parts,
    )


def _parse_chat(request: Request, document: DocumentView) -> dict:
    if request.method != "POST":
        raise RequestError(
            "method_not_allowed", 405, f"{request.method} is not allowed: use POST"
        )
    try:
        fields = msgspec.json.decode(request.body)
    except DECODING_ERRORS as error:
        reason = f"the body is not JSON: {error}"
        raise RequestError("bad_request", 400, reason) from error
    if not isinstance(fields, dict) or not isinstance(fields.get("model"), str):
        raise RequestError(
            "bad_request", 400, "the body must be an object with a string 'model'"
        )
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise RequestError("bad_request", 400, "'stream' must be true or false")
    name, service = _find_model_service(fields["model"], document)
    return {
        "service_name": name,
        "service": service,
        "model": fields["model"],
        "endpoint_target": request.target,
        "fields": fields,
        "stream": stream,
        "resume_from": _read_resume_token(fields),
    }


def _read_resume_token(fields: dict) -> int:
    value = fields.get("resume_from", 0)
    valid = isinstance(value, int) and not isinstance(value, bool)
    if not valid or not 0 <= value <= MAX_RESUME_TOKEN:
        raise RequestError(
            "bad_request",
            400,
            f"'resume_from' must be an integer from 0 to {MAX_RESUME_TOKEN}",
        )
    return value


def _find_model_service(model: str, document: DocumentView) -> tuple[str, Service]:
    for name, service in document.platform.services.items():
        if service.kind == "model" and model in service.models:
            return name, service
    raise RequestError("model_not_found", 404, f"no service has the model {model!r}")


def _parse_plain(request: Request, document: DocumentView) -> dict:
    name, _, rest = request.target.removeprefix(SERVICE_PREFIX).partition("/")
    service = document.platform.services.get(name)
    if service is None or service.kind != "plain":
        raise RequestError("service_not_found", 404, f"no plain service {name!r}")
    endpoint_target = "/" + rest
    path = endpoint_target.partition("?")[0]
    idempotent = service.is_idempotent(request.method, path)
    key = request.headers.get("idempotency-key", "")
    if not idempotent and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise RequestError(
            "idempotency_key_required",
            400,
            "this call needs an Idempotency-Key of 1 to 255 printable characters",
        )
    return {
        "service_name": name,
        "service": service,
        "model": None,
        "endpoint_target": endpoint_target,
        "idempotent": idempotent,
        "idempotency_key": key,
    }


def _read_deadline_s(
    request: Request, service: Service, forwarded: ForwardedRequest | None
) -> float:
    if forwarded is not None:
        return forwarded.deadline_ms / 1000
    value = request.headers.get("buckthorndeal-deadline-ms")
    if value is None:
        return service.default_deadline_s
    if not re.fullmatch(r"[0-9]{1,7}", value) or not 0 < int(value) <= MAX_DEADLINE_MS:
        raise RequestError(
            "bad_request", 400, f"the deadline must be 1 to {MAX_DEADLINE_MS} ms"
        )
    return int(value) / 1000
