"""Compression of the configuration between the processes that hold it."""

import zlib

from buckthorndeal.errors import WireError

__all__ = ["MAX_CONTENT_BYTES", "compress_content", "decompress_content"]

# Much more than a configuration may have; small content can expand a thousandfold.
MAX_CONTENT_BYTES = 16 << 20


def compress_content(content: bytes) -> bytes:
    """Return `content` compressed."""
    return zlib.compress(content)


def decompress_content(compressed: bytes) -> bytes:
    """Return the content that was compressed.

    Raises
    ------
    WireError
        If it is damaged, cut short or longer than `MAX_CONTENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise WireError(f"the compressed content is damaged: {error}") from error
    if decompressor.eof:
        return content
    if len(content) == MAX_CONTENT_BYTES:
        raise WireError(f"the content exceeds {MAX_CONTENT_BYTES} bytes")
    raise WireError("the compressed content is cut short")
