"""Prefix hashes and token estimates of prompts.

The hashes are keyed with a secret of the process, so that they reveal nothing about
the prompt. They also cover the workspace and the model, so that two workspaces never
share a hash.
"""

import hashlib
import os
from dataclasses import replace
from typing import Any

from buckthorndeal.entry._messages import Call
from buckthorndeal.policy.affinity import BLOCK_TOKENS

SECRET_BYTES = 32
HASH_BYTES = 8
# Common tokenizers produce about one token per four bytes of text.
TOKEN_BYTES = 4
# Bounds the time and memory for one request to those of a prompt of 32,768 tokens.
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
        """Return the call with prefix hashes and token estimate, if it has a prompt."""
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
        """Return the hashes of the block-aligned prefixes, shortest first."""
        block_bytes = self._block_bytes
        digest = hashlib.blake2b(key=self._secret, digest_size=HASH_BYTES)
        digest.update(f"{len(workspace)}:{workspace}{model}\0".encode())
        hashes = []
        for end in range(
            block_bytes, min(len(prompt), MAX_BLOCKS * block_bytes) + 1, block_bytes
        ):
            digest.update(prompt[end - block_bytes : end])
            hashes.append(int.from_bytes(digest.copy().digest(), "big"))
        return tuple(hashes)


def _read_prompt(fields: dict[str, Any]) -> bytes:
    """Return the roles and texts of a chat as bytes; unknown parts are skipped."""
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
    """Return a hasher; without `secret`, it uses a new random one."""
    return PromptHasher(secret or os.urandom(SECRET_BYTES))
