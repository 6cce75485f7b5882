"""JSON with comments and trailing commas, read with little memory.

Each pattern takes a string at once, also one that does not end: memory and time stay in
proportion to the text, whatever it holds.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

_STRING = r'"(?:[^"\\]++|\\.)*+"?'
_COMMENT = re.compile(_STRING + r"|//[^\n]*+|/\*.*?(?:\*/|\Z)", re.DOTALL)
_TRAILING_COMMA = re.compile(_STRING + r"|,(?=\s*+[\]}])", re.DOTALL)


def parse_json(text: str) -> Any:
    """Return the value of a JSON text with comments.

    Raises
    ------
    ValueError
        If the text is malformed, or nested too deeply.
    """
    try:
        return json.loads(remove_comments(text))
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def remove_comments(text: str) -> str:
    """Return a JSON text without its comments and trailing commas.

    Raises
    ------
    ValueError
        If a comment does not end.
    """
    text = " ".join(_split_at_comments(text))
    return "".join(_split_at_trailing_commas(text))


def _split_at_comments(text: str) -> Iterator[str]:
    start = 0
    for match in _COMMENT.finditer(text):
        if match[0].startswith('"'):
            continue
        if match[0].startswith("/*") and (
            not match[0].endswith("*/") or len(match[0]) < len("/**/")
        ):
            raise ValueError("a comment does not end")
        yield text[start : match.start()]
        start = match.end()
    yield text[start:]


def _split_at_trailing_commas(text: str) -> Iterator[str]:
    start = 0
    for match in _TRAILING_COMMA.finditer(text):
        if match[0] == ",":
            yield text[start : match.start()]
            start = match.end()
    yield text[start:]
