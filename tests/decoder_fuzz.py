"""Random, damaged and extreme input for the decoders of bytes from outside.

By hand: ``python -m tests.decoder_fuzz FIRST_SEED COUNT``.
"""

import inspect
import itertools
import logging
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import curio

MAX_INPUT_BYTES = 40_000
# Processor time of one input at most; far above what any of them takes.
MAX_DECODE_S = 2.0
# Memory that a decoder may use for one input.
MAX_MEMORY_RATIO = 64
MAX_MEMORY_BYTES = 2_000_000
NESTING = 5_000
LONG_STRING_BYTES = 30_000
LONG_DIGITS = b"9" * 5_000
TOKENS = (
    b"0",
    b"-1",
    b"1e999",
    b"-1e308",
    b"NaN",
    b"Infinity",
    b"null",
    b'""',
    b"18446744073709551616",
    b"9" * 400,
    LONG_DIGITS,
    b"\x00",
    b"\xff",
    b"\r\n",
    b"\n\n",
    b"\xed\xa0\x80",
    "\N{SUPERSCRIPT TWO}".encode(),
    # Lengths of 4 GiB of MessagePack arrays, maps, strings, bytes and extensions.
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xdb\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
    b"\xc9\xff\xff\xff\xff\x01",
    b"\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\xd3\x80\x00\x00\x00\x00\x00\x00\x00",
    b"\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00",
    b"\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
)
NESTED = (
    b"[" * NESTING,
    b'{"a":' * NESTING,
    b"[" * NESTING + b"]" * NESTING,
    b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    b"\x91" * NESTING + b"\xc0",
    b"\x81\xa1a" * NESTING + b"\xc0",
    b'"' + b"a" * LONG_STRING_BYTES + b'"',
    b'"' + b"\\n" * (LONG_STRING_BYTES // 2) + b'"',
    b'"' + b'\\"' * (LONG_STRING_BYTES // 2),
)


@dataclass(frozen=True)
class Decoder:
    """A decoder under test.

    Parameters
    ----------
    name : str
        What it decodes.
    decode : callable
        Function or coroutine function of the input.
    errors : tuple of type
        Exceptions that it documents.
    samples : tuple of bytes
        Valid input.
    """

    name: str
    decode: Callable
    errors: tuple[type[Exception], ...]
    samples: tuple[bytes, ...]


@dataclass(frozen=True)
class Fault:
    """What a decoder did wrong."""

    decoder: str
    reason: str
    data: bytes

    def __str__(self) -> str:
        start = self.data[:80]
        return f"{self.decoder}: {self.reason}; {len(self.data)} bytes, {start!r}"


def create_inputs(rng: random.Random, samples, count: int) -> Iterator[bytes]:
    """Yield extreme inputs, and `count` that are random or damaged samples."""
    yield b""
    yield from samples
    for nested in NESTED:
        yield nested
        for sample in samples:
            yield _replace_part(rng, sample, nested)
            yield _replace_value(rng, sample, nested)
    for token in TOKENS:
        yield token
        for sample in samples:
            yield _replace_value(rng, sample, token)
    for _ in range(count):
        yield _mutate(rng, rng.choice(samples))[:MAX_INPUT_BYTES]


def _mutate(rng, data):
    for _ in range(rng.choice((1, 1, 2, 5))):
        data = rng.choice(MUTATIONS)(rng, data)
    return data


def _randomize(rng, data):
    return rng.randbytes(rng.randrange(1, 200))


def _flip(rng, data):
    changed = bytearray(data or b"a")
    for _ in range(rng.randrange(1, 8)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed)


def _truncate(rng, data):
    return data[: rng.randrange(len(data) + 1)]


def _repeat(rng, data):
    start = rng.randrange(len(data) + 1)
    end = rng.randrange(start, len(data) + 1)
    return data[:end] + data[start:end] * rng.randrange(1, 40) + data[end:]


def _insert(rng, data):
    return _replace_part(rng, data, rng.choice(TOKENS))


def _replace_number(rng, data):
    return _replace_value(rng, data, rng.choice(TOKENS))


def _replace_part(rng, data, part):
    start = rng.randrange(len(data) + 1)
    return data[:start] + part + data[start + rng.randrange(4) :]


def _replace_value(rng, data, value):
    """Replace a number of a text, or a part of other data."""
    starts = [
        index
        for index in range(len(data))
        if data[index : index + 1].isdigit()
        and not data[max(0, index - 1) : index].isalnum()
    ]
    if not starts:
        return _replace_part(rng, data, value)
    start = end = rng.choice(starts)
    while data[end : end + 1].isdigit() or data[end : end + 1] == b".":
        end += 1
    return data[:start] + value + data[end:]


MUTATIONS = (
    _randomize,
    _flip,
    _flip,
    _truncate,
    _repeat,
    _insert,
    _replace_number,
)


async def fuzz(
    decoder: Decoder, seed: int, count: int, trace: bool, step: int = 1
) -> list[Fault]:
    """Return the faults of a decoder, at most one of each kind.

    Parameters
    ----------
    count : int
        Number of inputs beside the extreme ones.
    trace : bool
        Whether memory is measured, which is slow.
    step : int, optional
        Only one of so many inputs is used.
    """
    rng = random.Random(f"{decoder.name}-{seed}")
    faults = {}
    if trace:
        tracemalloc.start()
    inputs = create_inputs(rng, decoder.samples, count)
    for data in itertools.islice(inputs, 0, None, step):
        reason = await _try_input(decoder, data, trace)
        if reason is not None:
            faults.setdefault(
                reason.partition(":")[0], Fault(decoder.name, reason, data)
            )
    tracemalloc.stop()
    return list(faults.values())


async def is_any_sample_valid(decoder: Decoder) -> bool:
    """Return whether a decoder gives a value for one of its samples."""
    for sample in decoder.samples:
        try:
            result = decoder.decode(sample)
            if inspect.isawaitable(result):
                await result
        except decoder.errors:
            continue
        return True
    return False


async def _try_input(decoder, data, trace):
    before = 0
    if trace:
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
    started_s = time.thread_time()
    try:
        result = decoder.decode(data)
        if inspect.isawaitable(result):
            result = await result
    except decoder.errors:
        pass
    except Exception as error:
        return f"{type(error).__name__}: {str(error)[:100]}"
    finally:
        elapsed_s = time.thread_time() - started_s
        peak = 0
        if trace:
            peak = tracemalloc.get_traced_memory()[1] - before
    if elapsed_s > MAX_DECODE_S:
        return f"time: {elapsed_s:.1f} s"
    if peak > MAX_MEMORY_BYTES + MAX_MEMORY_RATIO * len(data):
        return f"memory: {peak} bytes"
    return None


def main():
    """Fuzz all decoders with the seeds named on the command line."""
    # It imports this module.
    from tests.fuzzed_decoders import create_decoders

    logging.disable(logging.CRITICAL)
    first, count = map(int, sys.argv[1:])
    decoders = create_decoders()

    async def run():
        for seed in range(first, first + count):
            for decoder in decoders:
                for fault in await fuzz(decoder, seed, 2_000, trace=seed == first):
                    print(f"seed {seed}: {fault}", flush=True)
            print(f"seed {seed}: done", flush=True)

    curio.run(run)


if __name__ == "__main__":
    main()
