"""Tests of the compression of the configuration."""

import unittest
import zlib

from buckthorndeal.compression import (
    MAX_CONTENT_BYTES,
    compress_content,
    decompress_content,
)
from buckthorndeal.errors import WireError


class CompressionTest(unittest.TestCase):
    def test_round_trip(self):
        for content in (b"", b"routes", bytes(range(256)) * 1_000):
            self.assertEqual(decompress_content(compress_content(content)), content)

    def test_content_of_the_largest_size(self):
        compressed = compress_content(bytes(MAX_CONTENT_BYTES))
        self.assertEqual(len(decompress_content(compressed)), MAX_CONTENT_BYTES)

    def test_content_that_expands_beyond_the_bound_is_refused(self):
        """Guards against a small message that fills the memory of a process."""
        compressed = zlib.compress(bytes(MAX_CONTENT_BYTES + 1))
        with self.assertRaisesRegex(WireError, "exceeds"):
            decompress_content(compressed)

    def test_damaged_content_is_refused(self):
        compressed = compress_content(b"routes" * 100)
        for damaged in (b"", b"\x00", compressed[:-1], b"x" + compressed):
            with self.assertRaises(WireError):
                decompress_content(damaged)


if __name__ == "__main__":
    unittest.main()
