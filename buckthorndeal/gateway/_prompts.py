"""Prompts of model requests, as callers describe them."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

# Of a prompt with more parts, the rest counts as one that no other request shares.
MAX_PARTS = 64
# A longer key stands for itself as a digest.
MAX_KEY_CHARS = 64
KEY_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that several requests may share.

    Parameters
    ----------
    key : str
        Key that identifies the part together with all parts before it.
    tokens : int
        Length of the part.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size and prefix of the prompt of a model request.

    Parameters
    ----------
    model : str
        Name of the model.
    tokens : int
        Length of the prompt in tokens.
    max_output_tokens : int
        Largest number of tokens that may be generated.
    parts : tuple of PromptPart
        Parts in order; the last one is private to the request or its session.
    joined_parts : int
        Number of parts that the last one stands for, if the caller has named more than
        are distinguished; 0 otherwise.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    joined_parts: int = 0

    @property
    def shared_prefix_key(self) -> str | None:
        """Key of the longest prefix that other requests may share."""
        return self.parts[-2].key if len(self.parts) > 1 else None

    @property
    def shared_prefix_tokens(self) -> int:
        """Length of the longest prefix that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])


def create_prompt(
    model: str, tokens: int, max_output_tokens: int, parts: Sequence[PromptPart]
) -> Prompt:
    """Return a prompt of bounded size, whatever parts a caller names.

    What is remembered of prompts is counted in parts, so that neither their number in
    one request nor the length of their keys may be left to callers.
    """
    joined = parts[MAX_PARTS - 1 :]
    distinct = [_shorten_key(part) for part in parts[:MAX_PARTS]]
    if len(joined) <= 1:
        return Prompt(model, tokens, max_output_tokens, tuple(distinct))
    joined_tokens = sum(part.tokens for part in joined)
    distinct[-1] = _shorten_key(PromptPart(joined[-1].key, joined_tokens))
    return Prompt(model, tokens, max_output_tokens, tuple(distinct), len(joined))


def _shorten_key(part: PromptPart) -> PromptPart:
    if len(part.key) <= MAX_KEY_CHARS:
        return part
    digest = hashlib.blake2b(part.key.encode(), digest_size=KEY_DIGEST_BYTES)
    return PromptPart(digest.hexdigest(), part.tokens)
