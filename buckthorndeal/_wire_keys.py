"""Shared keys of the processes, and MACs over several parts."""

import hashlib
import hmac

from buckthorndeal.errors import AuthenticationError

MAC_BYTES = 16


def derive_keys(key_texts: tuple[str, ...]) -> tuple[bytes, ...]:
    """Derive a 32-byte key from each shared key of the settings by SHA-256."""
    return tuple(hashlib.sha256(key.encode()).digest() for key in key_texts)


def sign_parts(keys: tuple[bytes, ...], parts: tuple[bytes, ...]) -> bytes:
    """Return a MAC over `parts`, each preceded by its length.

    The MAC authenticates requests that are forwarded between hosts.
    """
    return _sign_parts(keys[0], parts)


def verify_parts(keys: tuple[bytes, ...], parts: tuple[bytes, ...], mac: bytes) -> None:
    """Verify a MAC computed by `sign_parts`.

    Raises
    ------
    AuthenticationError
        If the MAC matches none of the keys.
    """
    for key in keys:
        if hmac.compare_digest(mac, _sign_parts(key, parts)):
            return
    raise AuthenticationError("message parts have a wrong MAC")


def _sign_parts(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    lengths = (len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, b"parts" + b"".join(lengths), "sha256")[:MAC_BYTES]
