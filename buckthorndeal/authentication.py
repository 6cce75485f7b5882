"""Callers' bearer keys, matched to workspaces by their SHA-256 hashes."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.errors import RequestError
from buckthorndeal.sections import AccountsSection, Service, Workspace

__all__ = [
    "Authenticator",
    "Identity",
    "check_endpoint_key",
    "create_authenticator",
    "hash_key",
]

SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class Identity:
    """The workspace that a caller belongs to."""

    name: str
    workspace: Workspace


class Authenticator:
    """Finds the workspace of a bearer key.

    Parameters
    ----------
    accounts : AccountsSection
        Section in force.
    """

    def __init__(self, accounts: AccountsSection) -> None:
        self._workspaces = accounts.workspaces
        self._by_hash = {
            key_hash: Identity(name, workspace)
            for name, workspace in accounts.workspaces.items()
            for key_hash in workspace.key_hashes
        }

    def authenticate(self, header: str | None) -> Identity:
        """Return the identity of an ``Authorization`` header.

        Looking up the digest does not leak the key by timing, because a caller
        cannot choose the digest of a guess.

        Raises
        ------
        RequestError
            With status 401 if the header is absent or the key is unknown.
        """
        identity = self._by_hash.get(hash_bearer(header))
        if identity is None:
            raise RequestError("unauthorized", 401, "the bearer key is not valid")
        return identity

    def find_workspace(self, name: str) -> Identity:
        """Return the identity of a workspace named by another entry host.

        Raises
        ------
        RequestError
            With status 401 if the workspace is not in the section in force.
        """
        workspace = self._workspaces.get(name)
        if workspace is None:
            raise RequestError("unauthorized", 401, "the workspace is not known")
        return Identity(name, workspace)


def hash_bearer(header: str | None) -> str:
    """Return the hash of the key in an ``Authorization`` header.

    Raises
    ------
    RequestError
        With status 401 if the header does not hold a bearer key.
    """
    scheme, _, key = (header or "").partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        raise RequestError("unauthorized", 401, "a bearer key is required")
    return hash_key(key.strip())


def check_endpoint_key(
    header: str | None, services: Mapping[str, Service], service: str | None
) -> None:
    """Check the key of an endpoint, if its service demands one.

    Parameters
    ----------
    services : mapping of str to Service
        Services of the platform section.
    service : str or None
        Service of the endpoint. None if the endpoint is not known; then a key of
        any service is accepted, and one is demanded if any service demands it.

    Raises
    ------
    RequestError
        With status 401 if the key is absent or does not match.
    """
    chosen = list(services.values()) if service is None else [services.get(service)]
    allowed = {
        key_hash
        for each in chosen
        if each is not None
        for key_hash in each.endpoint_key_hashes
    }
    # The hashes are looked up by digest, which a caller cannot choose.
    if allowed and hash_bearer(header) not in allowed:
        raise RequestError("unauthorized", 401, "the endpoint key is not valid")


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key as the document holds it."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


def create_authenticator(accounts: AccountsSection) -> Authenticator:
    """Return an authenticator for a section."""
    return Authenticator(accounts)
