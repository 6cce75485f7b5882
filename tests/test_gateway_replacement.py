"""Tests of attempts that are opened beside another one."""

import time
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import curio

from buckthorndeal.errors import ShortageError
from buckthorndeal.gateway._decisions import report_unserved
from buckthorndeal.gateway._messages import (
    Dispatch,
    Forward,
)
from buckthorndeal.gateway._replacement import Replacement


class ReplacementTest(unittest.TestCase):
    """One attempt at a time is opened beside another one, and is kept for it."""

    def test_second_search_leaves_what_the_first_has_found(self):
        """Guards against a replacement that is ended by another search (LOST)."""
        asked = []

        async def ask(dispatch):
            asked.append(dispatch)
            if len(asked) > 1:
                await curio.sleep(1.0)
            return Forward("b", "h2", 0.0)

        async def send(message):
            asked.append(message)

        @asynccontextmanager
        async def open_attempt(attempt_id, decision, on_connection):
            yield decision.host

        async def test():
            mailbox = SimpleNamespace(ask=ask, send=send)
            context = SimpleNamespace(dispatch_mailbox=mailbox, clock=time.monotonic)
            replacement = Replacement(context, open_attempt, None, None)

            def create_dispatch():
                return Dispatch(1, None)

            self.assertTrue(await replacement.find(create_dispatch, None))
            second = await curio.spawn(replacement.find, create_dispatch, None)
            await curio.sleep(0.05)
            await second.cancel()
            opening = replacement.take()
            self.assertIsNotNone(opening)
            async with opening.enter() as attempt:
                self.assertEqual(attempt, "h2")

        curio.run(test)
        self.assertEqual(len(asked), 1)

    def test_host_is_not_blamed_for_a_replacement_that_lacks_a_descriptor(self):
        """Guards against a region that gets nothing as this host lacks descriptors."""
        messages = []

        async def ask(dispatch):
            return Forward("b", "h2", 0.0)

        async def send(message):
            messages.append(message)

        @asynccontextmanager
        async def open_attempt(attempt_id, decision, on_connection):
            raise ShortageError("too few descriptors are free")
            yield

        async def test():
            mailbox = SimpleNamespace(ask=ask, send=send)
            context = SimpleNamespace(dispatch_mailbox=mailbox, clock=time.monotonic)
            errors = []

            async def record_failure(decision, error):
                errors.append((decision, error))

            replacement = Replacement(context, open_attempt, record_failure, None)
            found = await replacement.find(lambda: Dispatch(1, None), None)
            self.assertFalse(found)
            self.assertTrue(errors)
            for decision, error in errors:
                for is_relay in (False, True):
                    target = replace(decision, is_relay=is_relay)
                    await report_unserved(context, target, error)
            self.assertEqual(messages, [])

        curio.run(test)


if __name__ == "__main__":
    unittest.main()
