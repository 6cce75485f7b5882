"""Tests of prompts as callers describe them, and of what is remembered of them."""

import unittest

from buckthorndeal.gateway import PromptPart, create_prompt
from buckthorndeal.gateway._engine import CHECK_PARTS, PrefixCaches
from buckthorndeal.gateway._prompts import MAX_KEY_CHARS, MAX_PARTS

LONG_KEY = "x" * 15_000


def create_parts(count, tokens=1):
    return [PromptPart(f"p{number}", tokens) for number in range(count)]


class PromptTest(unittest.TestCase):
    """What is kept of a prompt is bounded."""

    def test_usual_prompt_is_kept_as_it_is(self):
        """Guards against a bound that sound prompts meet."""
        parts = create_parts(MAX_PARTS, 100)
        prompt = create_prompt("m", 6_400, 10, parts)
        self.assertEqual(prompt.parts, tuple(parts))
        self.assertEqual(prompt.joined_parts, 0)

    def test_parts_beyond_the_limit_are_joined(self):
        """Guards against decisions that take time for thousands of parts."""
        parts = create_parts(3_000, 2)
        prompt = create_prompt("m", 6_000, 10, parts)
        self.assertEqual(len(prompt.parts), MAX_PARTS)
        self.assertEqual(prompt.joined_parts, 3_000 - MAX_PARTS + 1)
        self.assertEqual(sum(part.tokens for part in prompt.parts), 6_000)
        self.assertEqual(prompt.shared_prefix_key, f"p{MAX_PARTS - 2}")

    def test_long_key_is_kept_as_a_digest(self):
        """Guards against keys of the size of a head in every table of keys."""
        first, second = (
            create_prompt("m", 2, 10, [PromptPart(f"{LONG_KEY}{n}", 1)]).parts[0].key
            for n in range(2)
        )
        self.assertLessEqual(len(first), MAX_KEY_CHARS)
        self.assertNotEqual(first, second)


class PrefixCachesTest(unittest.TestCase):
    """The parts that are remembered of all endpoints are bounded together."""

    def test_parts_without_a_token_are_not_kept_for_ever(self):
        """Guards against parts that no capacity evicts."""
        caches = PrefixCaches(max_parts=1_000)
        cache = caches.create(100_000)
        for number in range(1_000):
            parts = [PromptPart(f"{number}-{part}", 0) for part in range(50)]
            cache.record(create_prompt("m", 1, 1, parts))
        self.assertLessEqual(len(caches), 1_000 + CHECK_PARTS)
        self.assertGreater(caches.evicted_count, 0)

    def test_largest_cache_makes_room(self):
        """Guards against one endpoint's parts that drive out those of others."""
        caches = PrefixCaches(max_parts=2_000)
        small, large = caches.create(1_000_000), caches.create(1_000_000)
        kept = create_prompt("m", 100, 1, create_parts(10, 10))
        small.record(kept)
        for number in range(10_000):
            part = PromptPart(f"own-{number}", 1)
            large.record(create_prompt("m", 1, 1, [part]))
        self.assertEqual(small.count_cached(kept), 100)

    def test_cache_of_an_endpoint_that_is_gone_is_not_counted(self):
        """Guards against a limit that former endpoints use up."""
        caches = PrefixCaches(max_parts=2_000)
        cache = caches.create(1_000_000)
        cache.record(create_prompt("m", 10, 1, create_parts(10)))
        del cache
        self.assertEqual(len(caches), 0)


if __name__ == "__main__":
    unittest.main()
