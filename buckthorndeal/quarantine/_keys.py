"""Names of what requests have in common, in logs and between hosts."""

import functools
import hashlib
from dataclasses import dataclass, field
from typing import Protocol

DIGEST_BYTES = 8
ID_DIGEST_BYTES = 4
OUTLINE_BYTES = 4
CACHED_DIGESTS = 4096
# Digests are hexadecimal, so no digest of a part begins with it.
REQUEST_PREFIX = "r"


class _Part(Protocol):
    @property
    def key(self) -> str: ...


class _Prompt(Protocol):
    @property
    def parts(self) -> tuple[_Part, ...]: ...


@dataclass(eq=False, slots=True)
class RequestContent:
    """What stays the same when a request comes again, at any host.

    Ids, deadlines and the point at which a stream is resumed are left out.

    Parameters
    ----------
    method, host, target : str
        Method, name of the addressed host, path and query.
    caller : str
        Credentials of the caller; empty if callers have none.
    body : bytes
        Complete body.
    """

    method: str
    host: str
    target: str
    caller: str
    body: bytes
    _outline: str | None = field(default=None, init=False, repr=False)
    _digest: str | None = field(default=None, init=False, repr=False)

    @property
    def outline(self) -> str:
        """Digest of all but the content of the body, of which it has the length."""
        if self._outline is None:
            texts = (self.method, self.host, self.target, self.caller)
            text = "\n".join((*texts, str(len(self.body))))
            state = hashlib.blake2b(text.encode(), digest_size=OUTLINE_BYTES)
            self._outline = state.hexdigest()
        return self._outline

    @property
    def digest(self) -> str:
        """Short name of the request that says nothing of its content."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> str:
        state = hashlib.blake2b(self.outline.encode(), digest_size=DIGEST_BYTES)
        state.update(self.body)
        return self.outline + state.hexdigest()


class Call(Protocol):
    """What the keys of a request are taken from."""

    @property
    def prompt(self) -> _Prompt | None: ...

    @property
    def content(self) -> RequestContent | None: ...


@functools.lru_cache(CACHED_DIGESTS)
def digest_part(key: str) -> str:
    """Return a short name of a part that says nothing of its content."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


def list_part_keys(call: Call) -> list[str]:
    """Return the keys of the parts of a prompt that other requests share, in order.

    The last part belongs to the request itself or to its session, so it is left out.
    """
    if call.prompt is None:
        return []
    return [digest_part(part.key) for part in call.prompt.parts[:-1]]


def list_keys(call: Call) -> list[str]:
    """Return what a request has in common with others, the most common first.

    These are the shared parts of its prompt, and the request as a whole, which may come
    again. The first time this reads its whole body.
    """
    keys = list_part_keys(call)
    if call.content is not None:
        keys.append(REQUEST_PREFIX + call.content.digest)
    return keys


def get_outline(request_key: str) -> str:
    """Return the outline of the requests that have the key of a whole request."""
    return request_key[len(REQUEST_PREFIX) :][: 2 * OUTLINE_BYTES]


def digest_request_id(request_id: str) -> str:
    """Return a short name of one request, which its repeats keep."""
    return hashlib.blake2b(request_id.encode(), digest_size=ID_DIGEST_BYTES).hexdigest()


def is_request_key(key: str) -> bool:
    """Return whether a key stands for a whole request."""
    return key.startswith(REQUEST_PREFIX)
