"""Tests of streams that wait for a heartbeat of the endpoint that has begun them."""

import unittest

import msgspec

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._unconfirmed_streams import (
    RELAY_DELAY_S,
    UnconfirmedStream,
    create_unconfirmed_streams,
)

RECORD = EndpointRecord(
    "e1", 1, 1, "s", "a", "a-1", "10.1.9.1:80", 8, EndpointState.READY, version="v1"
)
BEGUN_S = 10.0


class UnconfirmedStreamsTest(unittest.TestCase):
    """Only a heartbeat that was sent later tells which incarnation began a stream."""

    def test_heartbeat_that_is_told_again_does_not_confirm(self):
        """Guards against a stream that is kept with the version of a former process."""
        streams = create_unconfirmed_streams()
        stream = UnconfirmedStream(RECORD, "digest", BEGUN_S, BEGUN_S + 60.0)
        streams.add(stream)
        now_s = BEGUN_S + 2 * RELAY_DELAY_S
        old = msgspec.structs.replace(RECORD, age_s=now_s - BEGUN_S + 1.0)
        self.assertEqual(streams.confirm(old, now_s), [])
        self.assertEqual(streams.confirm(RECORD, now_s), [stream])


if __name__ == "__main__":
    unittest.main()
