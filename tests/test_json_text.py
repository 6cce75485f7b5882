"""Tests of JSON with comments."""

import json
import random
import time
import tracemalloc
import unittest

import jsonc

from buckthorndeal._json_text import parse_json
from buckthorndeal.configuration import ConfigurationError, check_nesting
from buckthorndeal.routeformat import create_route_format
from tests.fleet_harness import create_configuration

SIZE = 200_000
MAX_RATIO = 40
MAX_S = 5.0
# A string, one of escapes only, quotes without an end, comments without an end.
LARGE = (
    '"' + "a" * SIZE + '"',
    '"' + "\\n" * (SIZE // 2) + '"',
    '"' + '\\"' * (SIZE // 2),
    '// "' + '\\"' * (SIZE // 2) + "\n1",
    "/*" * (SIZE // 2),
    "/**/" * (SIZE // 4) + "1",
    "[" + ", " * (SIZE // 2) + "]",
    '{"routes": [' + "{}," * (SIZE // 3) + "{}]}",
)
PARTS = ('"', "\\", "//", "/*", "*/", "\n", ",", "[", "]", "{", "}", ":", "1", "a", " ")


class ParseTest(unittest.TestCase):
    """Comments and trailing commas are left out, and nothing else."""

    def test_comments_and_trailing_commas(self):
        text = '{ // one\n "a": "// no, /* no */ ]", /* two\n */ "b": [1, 2,], }'
        value = parse_json(text)
        self.assertEqual(value, {"a": "// no, /* no */ ]", "b": [1, 2]})

    def test_malformed_text_is_refused(self):
        for text in ("", "[1", '"a', "/* a", "/*/", "1 /", "[" * 5_000, "[1,,]"):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                parse_json(text)

    def test_random_texts_give_what_the_library_gives(self):
        """Guards against a text that another version reads in another way."""
        rng = random.Random(1)
        valid = '{"a": [1, "//x", {"b": "\\"" /* c */}], // d\n "e": 2,}'
        for _ in range(3_000):
            text = list(valid)
            for _ in range(rng.randrange(3)):
                text.insert(rng.randrange(len(text)), rng.choice(PARTS))
            text = "".join(text)
            try:
                expected = jsonc.loads(text)
            except ValueError:
                continue
            self.assertEqual(parse_json(text), expected, text)


class LargeTextTest(unittest.TestCase):
    """Time and memory are in proportion to the text."""

    def check(self, read):
        for text in LARGE:
            tracemalloc.start()
            started_s = time.thread_time()
            try:
                read(text)
            except (ValueError, ConfigurationError):
                pass
            finally:
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
            with self.subTest(text=text[:20]):
                self.assertLess(peak, MAX_RATIO * len(text))
                self.assertLess(time.thread_time() - started_s, MAX_S)

    def test_text(self):
        """Guards against a string that takes 150 times its size in the pattern."""
        self.check(parse_json)

    def test_nesting(self):
        """Guards against the same in the check of what is put."""
        self.check(lambda text: check_nesting(text.encode()))

    def test_configuration(self):
        """Guards against a configuration of 4 MiB that ends a coordinator."""
        codec = create_route_format()
        self.check(lambda text: codec.decode(text.encode()))

    def test_nesting_behind_a_comment_is_seen(self):
        """Guards against a quote in a comment that hides what follows it."""
        for comment in (b'// "\n', b'/* " */'):
            with self.assertRaises(ConfigurationError):
                check_nesting(comment + b"[" * 100)

    def test_configuration_with_comments(self):
        """Guards against a format that takes plain JSON only."""
        plain = json.loads(create_configuration())
        text = b"// x\n" + json.dumps(plain).encode()[:-1] + b", /* y */}"
        configuration = create_route_format().decode(text)
        self.assertEqual(configuration.version, plain["version"])


if __name__ == "__main__":
    unittest.main()
