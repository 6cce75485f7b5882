"""Bytes of heartbeats that a coordinator sends to one gateway, on a simulated clock.

Usage: python -m tests.heartbeat_bytes
"""

import contextlib
import random
from unittest import mock

import msgspec

from buckthorndeal.coordinator import _endpoint_heartbeats
from buckthorndeal.coordinator._endpoint_heartbeats import merge_heartbeat
from buckthorndeal.coordinator._heartbeat_batch import HeartbeatBatch, split_heartbeats
from buckthorndeal.fleet import EndpointRecord, EndpointState, create_endpoint_table

# Gateways, coordinators and endpoints of a region.
SIZES = ((24, 5, 60), (76, 9, 200))
COLD_SHARES = (0.0, 0.1, 1.0)
HEARTBEAT_S = 1.2
FLUSH_S = 0.2
# All are known and warm at first; then they stay cold for longer than is measured.
WARM_UP_S = 2.4
LENGTH_S = 24.0
COLD_S = 60.0


def create_record(number, sequence, cold_s):
    """Return a heartbeat with names as long as usual ones."""
    return EndpointRecord(
        f"i-{number:010x}",
        1_796_688_000_000 + number,
        sequence,
        "huvo11a",
        "gulf",
        "gulf-a",
        f"10.128.{number // 250}.{number % 250 + 1}:8080",
        64,
        EndpointState.READY,
        cold_s=cold_s,
        version="v1",
    )


def measure_bytes(endpoints, cold_share, seed=1):
    """Return the bytes a second to one gateway, for endpoints of one coordinator.

    Parameters
    ----------
    endpoints : int
        Endpoints that send their heartbeats to the coordinator.
    cold_share : float
        Part of them that is cold.
    seed : int
        Seed of the phases.
    """
    rng = random.Random(seed)
    table, batch = create_endpoint_table(), HeartbeatBatch(0.0)
    due_s = [rng.uniform(0, HEARTBEAT_S) for _ in range(endpoints)]
    sequences = [0] * endpoints
    cold = set(rng.sample(range(endpoints), round(cold_share * endpoints)))
    encoder, total = msgspec.msgpack.Encoder(), 0
    for step in range(int((WARM_UP_S + LENGTH_S) / FLUSH_S)):
        now_s = step * FLUSH_S
        for number in range(endpoints):
            if due_s[number] > now_s:
                continue
            sequences[number] += 1
            cold_s = max(0.0, COLD_S - now_s) if number in cold else 0.0
            record = create_record(number, sequences[number], cold_s)
            merge_heartbeat(record, table, batch, now_s)
            due_s[number] += HEARTBEAT_S
        message = batch.take(now_s).get("gulf")
        if message is not None and now_s >= WARM_UP_S:
            parts = split_heartbeats(message)
            total += sum(len(encoder.encode(part)) for part in parts)
    return total / LENGTH_S


def patch_decision():
    """Return a context in which times are compared by their sign, as before."""
    args = (_endpoint_heartbeats, "has_remaining_time")
    return mock.patch.object(*args, return_value=False)


def main():
    """Print the bytes a second with both decisions."""
    decisions = (("by sign", patch_decision), ("present", contextlib.nullcontext))
    for gateways, coordinators, endpoints in SIZES:
        for name, decide in decisions:
            for cold_share in COLD_SHARES:
                with decide():
                    spread = measure_bytes(endpoints // coordinators, cold_share)
                    alone = measure_bytes(endpoints, cold_share)
                print(
                    f"{gateways} gateways, {endpoints} endpoints, {name}, "
                    f"{cold_share:.0%} cold: {spread:.0f} B/s of each of "
                    f"{coordinators} coordinators, {alone:.0f} B/s of a single one"
                )


if __name__ == "__main__":
    main()
