"""Tests of the entry command as a process: signals and failed starts."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

import curio
import msgspec

from buckthorndeal.authentication import hash_key
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_socket_transport
from tests.support import EXPECTED_TOKENS, PLATFORM, read_tokens, send_tokens

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ACCOUNTS = {"workspaces": {"w": {"key_hashes": [hash_key("k")], "home_region": "r1"}}}


class EntryCommandTest(unittest.TestCase):
    """Runs the daemon with settings in a temporary directory."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        settings = {
            "host": "e1",
            "region": "r1",
            "failure_domain": "r1-1",
            "listen": {"port": 0},
            "peer_listen": {"port": 0},
            "control_hosts": [{"host": "c1", "port": 1}],
            "peer_keys": ["00112233445566778899aabbccddeeff"],
            "document_directory": self.directory,
            "drain_notice_s": 0.05,
        }
        self.write("platform.jsonc", PLATFORM)
        self.write("accounts.jsonc", json.dumps(ACCOUNTS))
        self.write("support.jsonc", "{}")
        self.config = self.write("entry.jsonc", json.dumps(settings))

    def write(self, name, text):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(text)
        return path

    def start(self):
        command = [sys.executable, "-m", "buckthorndeal.command_entry"]
        process = subprocess.Popen(
            [*command, "--config", self.config],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def run_stream(self, process, port, signals):
        """Send signals while a stream is running; return the caller's response."""

        async def signal_and_stream(request, responder):
            if request.path != "/cancel":
                for number in signals:
                    process.send_signal(number)
                    await curio.sleep(0.2)
                await send_tokens(request, responder)

        async def main():
            transport = create_socket_transport()
            server = create_http_server(signal_and_stream, Limits())
            await server.start(transport, "127.0.0.1", 0)
            pool = create_http_pool(transport, "127.0.0.1", port)
            announcement = {
                "name": "a",
                "incarnation": 1,
                "service": "llm",
                "region": "r1",
                "failure_domain": "r1-1",
                "address": "127.0.0.1",
                "port": server.port,
                "models": ["m"],
            }
            body = msgspec.json.encode(announcement)
            await pool.fetch("POST", "/v1/endpoints/announce", [], body)
            try:
                return await pool.fetch(
                    "POST",
                    "/v1/chat/completions",
                    [("authorization", "Bearer k")],
                    b'{"model": "m", "stream": true}',
                )
            finally:
                await pool.close()
                await server.close()

        return curio.run(main)

    def test_sigterm_lets_a_stream_end_and_exits_with_0(self):
        """Guards against a restart that aborts a running stream."""
        process = self.start()
        port = json.loads(process.stdout.readline())["port"]
        response = self.run_stream(process, port, (signal.SIGTERM,))
        self.assertEqual(read_tokens(response[2])[1], EXPECTED_TOKENS)
        self.assertEqual(process.wait(timeout=10), 0)

    def test_second_sigterm_lets_a_stream_end(self):
        """Guards against requests that a repeated signal cuts off."""
        process = self.start()
        port = json.loads(process.stdout.readline())["port"]
        response = self.run_stream(process, port, (signal.SIGTERM, signal.SIGTERM))
        self.assertEqual(read_tokens(response[2])[1], EXPECTED_TOKENS)
        self.assertEqual(process.wait(timeout=10), 0)

    def test_sigint_while_draining_ends_at_once(self):
        """Guards against a process that cannot be stopped while it drains."""
        process = self.start()
        port = json.loads(process.stdout.readline())["port"]
        response = self.run_stream(process, port, (signal.SIGTERM, signal.SIGINT))
        self.assertEqual(response[0], 502)
        self.assertEqual(process.wait(timeout=10), 0)

    def test_invalid_section_prevents_the_start_and_exits_with_2(self):
        """Guards against a daemon that runs with an invalid document."""
        self.write("platform.jsonc", '{"services": 1}')
        process = self.start()
        self.assertIn("services", process.stderr.read())
        self.assertEqual(process.wait(timeout=10), 2)

    def test_port_in_use_is_the_logged_reason_of_a_failed_start(self):
        """Guards against a failed start that is logged with an unrelated error."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with open(self.config, encoding="utf-8") as stream:
                settings = json.load(stream)
            settings["listen"]["port"] = listener.getsockname()[1]
            self.config = self.write("entry.jsonc", json.dumps(settings))
            process = self.start()
            output, _ = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 1)
        event = json.loads(output.splitlines()[-1])
        self.assertEqual(event["event"], "entry_failed")
        self.assertIn("in use", event["reason"])


if __name__ == "__main__":
    unittest.main()
