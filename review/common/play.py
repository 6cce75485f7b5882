"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it failed."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable

from deployment import CannotRun, Record

LIMIT_S = 110.0


def run_case(file: str, play: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Run `play`, which returns what broke the rule, and exit.

    It is called with the record and whether the disruption is played.
    """
    record = Record(pathlib.Path(file).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with the disruption: {trouble}")
    status = 2
    try:
        broken = asyncio.run(_play_within_limit(play, record, trouble))
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
    else:
        for line in broken:
            record.write(f"BROKEN: {line}")
        status = 1 if broken else 0
        record.write("the rule was broken" if broken else "the rule held")
    sys.exit(status)


async def _play_within_limit(
    play: Callable[[Record, bool], Awaitable[list[str]]], record: Record, trouble: bool
) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await play(record, trouble)
