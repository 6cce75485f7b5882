"""Prefix hashes and token estimates of prompts.

The hashes are keyed with a secret of the process, so that they tell nothing of
the prompt, and with the workspace and the model, so that two workspaces never
share one.
"""

import hashlib
import os
from dataclasses import replace
from typing import Any

from buckthorndeal.entry._messages import Call
from buckthorndeal.policy.affinity import BLOCK_TOKENS

SECRET_BYTES = 32
HASH_BYTES = 8
# Usual tokenizers make one token of about four bytes of text.
TOKEN_BYTES = 4
# Bounds the time and the memory of one request to those of 32,768 tokens.
MAX_BLOCKS = 512


class PromptHasher:
    """Hashes the block-aligned prefixes of prompts.

    Parameters
    ----------
    secret : bytes
        Key of the hashes.
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self._block_bytes = BLOCK_TOKENS * TOKEN_BYTES

    def annotate(self, call: Call) -> Call:
        """Return a model call with its prefix hashes and its token estimate."""
        if call.fields is None:
            return call
        prompt = _read_prompt(call.fields)
        return replace(
            call,
            prefix_hashes=self.hash_prefixes(call.identity.name, call.model, prompt),
            prompt_tokens=-(-len(prompt) // TOKEN_BYTES),
        )

    def hash_prefixes(
        self, workspace: str, model: str, prompt: bytes
    ) -> tuple[int, ...]:
        """Return the hashes of the prefixes, shortest first."""
        size = self._block_bytes
        digest = hashlib.blake2b(key=self._secret, digest_size=HASH_BYTES)
        digest.update(f"{len(workspace)}:{workspace}{model}\0".encode())
        hashes = []
        for end in range(size, min(len(prompt), MAX_BLOCKS * size) + 1, size):
            digest.update(prompt[end - size : end])
            hashes.append(int.from_bytes(digest.copy().digest(), "big"))
        return tuple(hashes)


def _read_prompt(fields: dict[str, Any]) -> bytes:
    """Return the text of a chat in one piece; unknown parts are left out."""
    messages = fields.get("messages")
    if not isinstance(messages, list):
        return b""
    parts: list[str] = []
    for message in messages:
        if isinstance(message, dict):
            parts.append(str(message.get("role", "")))
            parts.append(_read_content(message.get("content")))
    return "\0".join(parts).encode("utf-8", "surrogatepass")


def _read_content(content: object) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    return "\0".join(
        part["text"]
        for part in content
        if isinstance(part, dict) and isinstance(part.get("text"), str)
    )


def create_prompt_hasher(secret: bytes | None = None) -> PromptHasher:
    """Return a hasher; without `secret` with a new one."""
    return PromptHasher(secret or os.urandom(SECRET_BYTES))
