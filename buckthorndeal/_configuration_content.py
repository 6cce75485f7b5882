"""Compressed form in which the text of a configuration is stored and sent."""

import zlib

from buckthorndeal.configuration import ConfigurationError

# Far above the body of a request with a configuration, 4 MiB by default.
MAX_CONTENT_BYTES = 16_777_216


def compress_content(content: bytes) -> bytes:
    """Return the compressed form of a text.

    Raises
    ------
    ConfigurationError
        If the text is longer than `MAX_CONTENT_BYTES`.
    """
    if len(content) > MAX_CONTENT_BYTES:
        raise ConfigurationError("$", f"longer than {MAX_CONTENT_BYTES} bytes")
    return zlib.compress(content)


def decompress_content(compressed: bytes) -> bytes:
    """Return the text of a compressed form.

    A few bytes can stand for a text a thousand times as long, so its length is bounded
    while it is decompressed.

    Raises
    ------
    ConfigurationError
        If it is damaged, or the text is longer than `MAX_CONTENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ConfigurationError("$", f"damaged: {error}") from error
    if decompressor.unconsumed_tail:
        raise ConfigurationError("$", f"longer than {MAX_CONTENT_BYTES} bytes")
    if not decompressor.eof:
        raise ConfigurationError("$", "damaged: it is cut off")
    return content


class SharedContent:
    """The text that was decompressed last, of which all responses send the same bytes.

    Responses that their callers do not read would hold a copy each.
    """

    def __init__(self) -> None:
        self._compressed: bytes | None = None
        self._content = b""

    def decompress(self, compressed: bytes) -> bytes:
        """Return the text of a compressed form, as `decompress_content` does."""
        if compressed != self._compressed:
            self._content = decompress_content(compressed)
            self._compressed = compressed
        return self._content
