"""Authentication of callers and endpoints by the SHA-256 hashes of bearer keys."""

from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.errors import RequestError
from buckthorndeal.keys import KeyTable, hash_key
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
    """Workspace of an authenticated caller.

    Parameters
    ----------
    name : str
        Name of the workspace.
    workspace : Workspace
        Entry of the accounts section.
    """

    name: str
    workspace: Workspace


class Authenticator:
    """Maps bearer keys to workspaces.

    Parameters
    ----------
    accounts : AccountsSection
        Current section of the document.
    """

    def __init__(self, accounts: AccountsSection) -> None:
        self._workspaces = accounts.workspaces
        self._keys = KeyTable(
            (key_hash, Identity(name, workspace))
            for name, workspace in accounts.workspaces.items()
            for key_hash in workspace.key_hashes
        )

    def authenticate(self, header: str | None) -> Identity:
        """Return the identity for an ``Authorization`` header.

        Raises
        ------
        RequestError
            With status 401 if the header has no bearer key or the key is unknown.
        """
        identity = self._keys.find_by_hash(hash_bearer(header))
        if identity is None:
            raise RequestError("unauthorized", 401, "the bearer key is not valid")
        return identity

    def find_workspace(self, name: str) -> Identity:
        """Return the identity for a workspace that another entry host authenticated.

        Raises
        ------
        RequestError
            With status 401 if the current section does not contain the workspace.
        """
        workspace = self._workspaces.get(name)
        if workspace is None:
            raise RequestError(
                "unauthorized", 401, f"the workspace {name!r} is not known"
            )
        return Identity(name, workspace)


def hash_bearer(header: str | None) -> str:
    """Return the hash of the key in an ``Authorization`` header.

    Raises
    ------
    RequestError
        With status 401 if the header has no bearer key.
    """
    scheme, _, key = (header or "").partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        raise RequestError("unauthorized", 401, "a bearer key is required")
    return hash_key(key.strip())


def check_endpoint_key(
    header: str | None, services: Mapping[str, Service], service: str | None
) -> None:
    """Check the bearer key of an endpoint if its service requires one.

    Parameters
    ----------
    header : str or None
        ``Authorization`` header.
    services : mapping of str to Service
        Services of the platform section.
    service : str or None
        Service of the endpoint, or None if the endpoint is not known. In this case
        the key of any service is accepted, and required if any service requires one.

    Raises
    ------
    RequestError
        With status 401 if the key is missing or not valid.
    """
    checked_services = (
        list(services.values()) if service is None else [services.get(service)]
    )
    allowed_hashes = {
        key_hash
        for checked_service in checked_services
        if checked_service is not None
        for key_hash in checked_service.endpoint_key_hashes
    }
    # The lookup by digest is safe for the reason that `KeyTable` gives.
    if allowed_hashes and hash_bearer(header) not in allowed_hashes:
        raise RequestError("unauthorized", 401, "the endpoint key is not valid")


def create_authenticator(accounts: AccountsSection) -> Authenticator:
    """Return an authenticator for an accounts section."""
    return Authenticator(accounts)
