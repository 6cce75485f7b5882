"""Plays endpoints that respond while the request is still being sent to them.

By hand: ``python -m tests.early_response_play CASE ...``.
"""

import itertools
import socket
import struct
import sys
import threading
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import create_http_pool
from tests.fleet_harness import REQUEST_ID, create_configuration
from tests.stop_play import DEADLINE_S, StopPlay

# More than the sockets between a gateway and an endpoint hold, and less than that
# but more than the socket of the endpoint holds.
UPLOAD_BYTES = (4_194_304, 200_000)
SOCKET_BYTES = 16_384
BODY = b"b" * 20_000
# Time in which a part of a response arrives before its connection ends.
PAUSE_S = 0.3
READ_TIMEOUT_S = 10.0
# How an early response names its end, its status, and how its connection ends.
CASES = {
    "unframed-reset": ("", "200 OK", "reset"),
    "unframed-ended": ("", "200 OK", "ended"),
    "unframed-closed": ("", "200 OK", "closed"),
    "older-reset": ("1.0", "200 OK", "reset"),
    "older-ended": ("1.0", "200 OK", "ended"),
    "short-reset": ("short", "200 OK", "reset"),
    "short-ended": ("short", "200 OK", "ended"),
    "chunked-reset": ("chunked", "200 OK", "reset"),
    "whole-reset": ("whole", "200 OK", "reset"),
    "whole-ended": ("whole", "200 OK", "ended"),
    "refused-reset": ("whole", "413 Content Too Large", "reset"),
    "refused-drained": ("whole", "413 Content Too Large", "drained"),
}


@dataclass
class EarlyResponsePlay(StopPlay):
    """One coordinator, a gateway beside the endpoint, and one that relays to it."""

    # By case, number of the host and size of the upload: status and body, or None for
    # a response that is visibly cut.
    results: dict = field(default_factory=dict)
    # Requests that the endpoint was given, by their id.
    given: list[str] = field(default_factory=list)

    async def _play(self):
        listener = _listen(self.endpoint, self.endpoint_port)
        thread = threading.Thread(target=self._accept, args=(listener,), daemon=True)
        thread.start()
        heartbeats = None
        try:
            self._start_process("coordinator", self.coordinator)
            for host in self.hosts:
                self._start_process("gateway", host)
            await self._configure()
            heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)
            for host in self.hosts:
                await self._wait_until_served(host)
            for case in self.options or CASES:
                for number, size in itertools.product((0, 1), UPLOAD_BYTES):
                    result = await self._send_early(case, self.hosts[number], size)
                    self.results[case, number, size] = result
        finally:
            if heartbeats is not None:
                await heartbeats.cancel()
            listener.close()

    async def _send_early(self, case, host, size):
        pool = create_http_pool(self.transport, host, self.ports["listen"], 1)
        headers = [("host", "x.example"), (REQUEST_ID, f"{case}-{host}-{size}")]
        path = f"/non_idempotent/{case}"
        try:
            async with curio.timeout_after(DEADLINE_S + 2.0):
                status, _, body = await pool.fetch("POST", path, headers, b"u" * size)
            return status, body
        except (RequestError, OSError, curio.TaskTimeout):
            return None
        finally:
            await pool.close()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._respond, args=(connection,), daemon=True
            ).start()

    def _respond(self, connection):
        connection.settimeout(READ_TIMEOUT_S)
        try:
            with connection:
                self._respond_to(connection)
        except OSError:
            # The gateway is done with the connection.
            return

    def _respond_to(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(SOCKET_BYTES)
            if not part:
                return
            data += part
        first, *lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        request_id = headers.get(REQUEST_ID, "")
        case = first.split()[1].rpartition("/")[2]
        if case not in CASES:
            connection.sendall(_create_response("whole", "200 OK", request_id))
            return
        self.given.append(request_id)
        framing, status, end = CASES[case]
        connection.sendall(_create_response(framing, status, request_id))
        threading.Event().wait(PAUSE_S)
        if end == "reset":
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif end in ("ended", "drained"):
            connection.shutdown(socket.SHUT_WR)
            threading.Event().wait(PAUSE_S)
            while end == "drained" and connection.recv(1 << 16):
                pass

    def _create_settings(self, kind, host):
        settings = super()._create_settings(kind, host)
        if kind == "coordinator":
            return {**settings, "regions": {"a-1": "a", "b-1": "b"}}
        if host == self.hosts[1]:
            return {**settings, "region": "b", "failure_domain": "b-1"}
        return settings

    async def _configure(self):
        content = msgspec.json.decode(
            create_configuration(1, home_regions=["a"], timeout_s=DEADLINE_S)
        )
        content["limits"] = {"max_body_bytes": 2 * UPLOAD_BYTES[0]}
        body = msgspec.json.encode(content)
        await self._wait_until(
            lambda: self._call_api("PUT", "/v1/configuration", body), "configured"
        )


def _listen(address, port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    listener.bind((address, port))
    listener.listen(64)
    return listener


def _create_response(framing, status, request_id):
    """Return a response or the part of it that is sent."""
    version = "1.0" if framing == "1.0" else "1.1"
    lines = [f"HTTP/{version} {status}", f"{REQUEST_ID}: {request_id}"]
    body = BODY
    if framing in ("short", "whole"):
        length = len(BODY) * (2 if framing == "short" else 1)
        lines.append(f"content-length: {length}")
    elif framing == "chunked":
        lines.append("transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n" % (len(BODY), BODY)
    lines.append("connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def main():
    """Play the cases named on the command line, or all."""
    play = EarlyResponsePlay("early", tuple(sys.argv[1:]))
    play.play()
    for (case, host, size), result in play.results.items():
        seen = result and (result[0], len(result[1]))
        print(f"{case}, {('directly', 'relayed')[host]}, {size} bytes: {seen}")


if __name__ == "__main__":
    main()
