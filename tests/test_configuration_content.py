"""Tests of the compressed form of a configuration."""

import tracemalloc
import unittest
import zlib

from buckthorndeal._configuration_content import (
    MAX_CONTENT_BYTES,
    compress_content,
    decompress_content,
)
from buckthorndeal.configuration import ConfigurationError


class ContentTest(unittest.TestCase):
    """Text is stored as it was written, and its length is bounded."""

    def test_text_is_read_back(self):
        """Guards against a bound that cuts the text."""
        for size in (0, 1, 100_000, MAX_CONTENT_BYTES):
            content = bytes(size)
            self.assertEqual(decompress_content(compress_content(content)), content)

    def test_damaged_content_is_refused(self):
        """Guards against a text that is cut off and taken for whole."""
        compressed = compress_content(b"text" * 100)
        for damaged in (
            b"",
            b"a" * 20,
            compressed[:-1],
            compressed[: len(compressed) // 2],
        ):
            with self.assertRaises(ConfigurationError):
                decompress_content(damaged)

    def test_text_without_end_is_refused(self):
        """Guards against 300 kB that stand for 300 MB, which end a process."""
        compressor = zlib.compressobj()
        compressed = b"".join(compressor.compress(bytes(1 << 20)) for _ in range(300))
        compressed += compressor.flush()
        tracemalloc.start()
        try:
            with self.assertRaises(ConfigurationError):
                decompress_content(compressed)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak, 3 * MAX_CONTENT_BYTES)

    def test_text_that_is_too_long_is_not_stored(self):
        """Guards against a configuration that is put and can't be read any more."""
        with self.assertRaises(ConfigurationError):
            compress_content(bytes(MAX_CONTENT_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
