"""Lookup of the owners of keys by the digests of the keys; no I/O."""

import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

__all__ = ["KeyTable", "hash_key"]

Owner = TypeVar("Owner")


class KeyTable(Generic[Owner]):
    """Finds the owner of a key.

    The lookup by digest does not leak a key through its timing, because a caller cannot
    choose the digest of a guessed key.

    Parameters
    ----------
    entries : iterable of tuple of str and object
        Digest of each key, as `hash_key` returns it, and its owner.
    """

    def __init__(self, entries: Iterable[tuple[str, Owner]]) -> None:
        self._owners = dict(entries)

    def find(self, key: str) -> Owner | None:
        """Return the owner of a key, or None."""
        return self.find_by_hash(hash_key(key))

    def find_by_hash(self, key_hash: str) -> Owner | None:
        """Return the owner of the key with a digest, or None."""
        return self._owners.get(key_hash)


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key in hexadecimal, as stored in the document."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()
