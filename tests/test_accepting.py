"""Tests of sockets on which `accept` or `recvfrom` fails."""

import errno
import os
import resource
import socket
import time
import unittest
from unittest import mock

import curio

from buckthorndeal.transport import create_memory_transport, create_socket_transport

ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPERM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
)
TIMEOUT_S = 10.0
DESCRIPTORS = 20
CROWD = 120
# Connections that may be open before the first of them is looked at.
MAX_UNSEEN = 32


async def echo(stream):
    while data := await stream.recv(100):
        await stream.sendall(data)


class FailingAccept:
    """Makes `accept` of all sockets raise until it is healed."""

    def __init__(self, number):
        self.number = number
        self.calls = 0
        self.failing = True
        self._accept = socket.socket.accept

    def patch(self):
        def accept(sock):
            self.calls += 1
            if self.failing:
                raise OSError(self.number, os.strerror(self.number))
            return self._accept(sock)

        return mock.patch.object(socket.socket, "accept", accept)


async def exchange(port):
    """Return what an echo server answers on a new connection."""
    stream = await create_socket_transport().connect("127.0.0.1", port)
    try:
        async with curio.timeout_after(TIMEOUT_S):
            await stream.sendall(b"hello")
            return await stream.recv(100)
    finally:
        await stream.close()


class CrowdTest(unittest.TestCase):
    """A crowd that connects at once is looked at while it is accepted."""

    def test_few_connections_are_accepted_before_one_is_refused(self):
        """Guards against a whole backlog that is open before a limit is applied."""

        async def main():
            most = served = 0

            async def refuse(stream):
                nonlocal most, served
                served += 1
                most = max(most, listener.connection_count)

            listener = await create_socket_transport().listen("127.0.0.1", 0, refuse)
            # Nothing else runs while they connect.
            crowd = [
                socket.create_connection(("127.0.0.1", listener.port))
                for _ in range(CROWD)
            ]
            async with curio.timeout_after(TIMEOUT_S):
                while served < CROWD:
                    await curio.sleep(0.01)
            for each in crowd:
                each.close()
            await listener.close()
            return most

        self.assertLessEqual(curio.run(main), MAX_UNSEEN)


class FailingAcceptTest(unittest.TestCase):
    """A listener goes on after each error that `accept` may raise."""

    def test_listener_accepts_after_each_error(self):
        """Guards against a host that is deaf for good after one failed `accept`."""

        async def main(failing):
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            waiting = await curio.spawn(exchange, listener.port)
            while not failing.calls:
                await curio.sleep(0.001)
            failing.failing = False
            answers = await waiting.join(), await exchange(listener.port)
            await listener.close()
            return answers

        for number in ERRNOS:
            with self.subTest(errno.errorcode[number]):
                failing = FailingAccept(number)
                with failing.patch():
                    self.assertEqual(curio.run(main, failing), (b"hello", b"hello"))

    def test_repeated_error_does_not_keep_the_processor_busy(self):
        """Guards against a loop that spins while there are no descriptors."""

        async def main():
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            with socket.create_connection(("127.0.0.1", listener.port)):
                await curio.sleep(0.25)
            await listener.close()

        for number in ERRNOS:
            with self.subTest(errno.errorcode[number]):
                failing = FailingAccept(number)
                with failing.patch():
                    curio.run(main)
                self.assertGreater(failing.calls, 1)
                self.assertLess(failing.calls, 200)

    def test_failed_accepts_are_logged_within_bounds_and_counted(self):
        """Guards against a deaf host that says nothing of it, or too much."""

        async def main():
            transport = create_socket_transport()
            listener = await transport.listen("127.0.0.1", 0, echo)
            with socket.create_connection(("127.0.0.1", listener.port)):
                await curio.sleep(0.3)
            await listener.close()
            return transport.read_counters()["accepts_failed"]

        failing = FailingAccept(errno.EMFILE)
        with (
            failing.patch(),
            self.assertLogs("absl", "INFO") as logs,
        ):
            counted = curio.run(main)
        self.assertEqual(counted, failing.calls)
        events = [
            record for record in logs.records if record.message == "accept_failed"
        ]
        self.assertEqual(len(events), 1)
        self.assertEqual(events[0].buckthorndeal_fields["error"], "EMFILE")

    def test_stop_hands_over_the_backlog_in_spite_of_an_error(self):
        """Guards against resetting what waits behind an aborted connection."""
        real = socket.socket.accept

        async def main(failures):
            def accept(sock):
                if failures:
                    raise failures.pop()
                return real(sock)

            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            await curio.sleep(0.01)
            with socket.create_connection(("127.0.0.1", listener.port)) as client:
                client.sendall(b"hello")
                with mock.patch.object(socket.socket, "accept", accept):
                    await listener.stop_accepting()
                await curio.sleep(0.05)
                client.settimeout(TIMEOUT_S)
                answer = client.recv(100)
            await listener.close()
            return answer

        for number in (errno.ECONNABORTED, errno.EMFILE):
            with self.subTest(errno.errorcode[number]):
                failures = [OSError(number, os.strerror(number)) for _ in range(2)]
                self.assertEqual(curio.run(main, failures), b"hello")

    def test_stop_ends_while_nothing_can_be_accepted(self):
        """Guards against a drain that waits for descriptors for good."""

        async def main(failing):
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            await curio.sleep(0.01)
            with socket.create_connection(("127.0.0.1", listener.port)):
                with failing.patch():
                    async with curio.timeout_after(TIMEOUT_S):
                        await listener.stop_accepting()

        for number in ERRNOS:
            with self.subTest(errno.errorcode[number]):
                failing = FailingAccept(number)
                curio.run(main, failing)
                self.assertGreater(failing.calls, 1)

    def test_connection_that_takes_no_options_ends_alone(self):
        """Guards against a reset connection that ends the whole accept loop."""
        real = socket.socket.setsockopt
        failures = []

        def setsockopt(sock, *args):
            if args[:2] == (socket.IPPROTO_TCP, socket.TCP_NODELAY) and not failures:
                failures.append(sock)
                raise OSError(errno.EINVAL, "reset")
            return real(sock, *args)

        async def main():
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            with socket.create_connection(("127.0.0.1", listener.port)):
                with mock.patch.object(socket.socket, "setsockopt", setsockopt):
                    while not failures:
                        await curio.sleep(0.001)
            answer = await exchange(listener.port)
            await listener.close()
            return answer

        self.assertEqual(curio.run(main), b"hello")


class ExhaustedDescriptorsTest(unittest.TestCase):
    """A process of which all descriptors are taken serves once some are free."""

    def run_in_child(self, scenario):
        """Run a coroutine function in a child process with few descriptors."""
        pid = os.fork()
        if pid == 0:
            status = 1
            try:
                scenario()
                status = 0
            except BaseException:
                import traceback

                traceback.print_exc()
            finally:
                os._exit(status)
        until_s = time.monotonic() + 30
        while time.monotonic() < until_s:
            done, status = os.waitpid(pid, os.WNOHANG)
            if done:
                self.assertEqual(os.waitstatus_to_exitcode(status), 0)
                return
            time.sleep(0.02)
        os.kill(pid, 9)
        os.waitpid(pid, 0)
        self.fail("the child process does not end")

    def test_backlog_is_served_once_descriptors_are_free(self):
        """Guards against a listening socket that is closed by EMFILE."""

        async def main():
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            await curio.sleep(0.01)
            client = socket.create_connection(("127.0.0.1", listener.port))
            client.sendall(b"hello")
            taken = []
            used = len(os.listdir("/proc/self/fd"))
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (used + DESCRIPTORS, hard))
            while True:
                try:
                    taken.append(os.open("/dev/null", os.O_RDONLY))
                except OSError:
                    break
            await curio.sleep(0.3)
            for descriptor in taken:
                os.close(descriptor)
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
            async with curio.timeout_after(TIMEOUT_S):
                answer = await curio.run_in_thread(client.recv, 100)
            client.close()
            assert answer == b"hello", answer
            assert await exchange(listener.port) == b"hello"
            await listener.close()

        self.run_in_child(lambda: curio.run(main))


class DatagramTest(unittest.TestCase):
    """A datagram port goes on after errors of single reads."""

    def test_port_receives_after_each_error(self):
        """Guards against a reader that ends, and a host that hears nothing more."""
        real = socket.socket.recvfrom

        async def main(number):
            port = await create_socket_transport().open_datagrams("127.0.0.1", 0)
            failures = []

            def recvfrom(sock, *args):
                if len(failures) < 3:
                    failures.append(sock)
                    raise OSError(number, os.strerror(number))
                return real(sock, *args)

            with (
                mock.patch.object(socket.socket, "recvfrom", recvfrom),
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
            ):
                sender.sendto(b"hello", ("127.0.0.1", port.port))
                async with curio.timeout_after(TIMEOUT_S):
                    data, _ = await port.recvfrom()
            await port.close()
            return data

        for number in (errno.ENOBUFS, errno.ENOMEM, errno.ENETDOWN, errno.EHOSTUNREACH):
            with self.subTest(errno.errorcode[number]):
                self.assertEqual(curio.run(main, number), b"hello")

    def test_repeated_error_does_not_keep_the_processor_busy(self):
        """Guards against a reader that spins, and one that says nothing."""
        calls = []

        def recvfrom(sock, *args):
            calls.append(sock)
            raise OSError(errno.ENOMEM, "no memory")

        async def main():
            port = await create_socket_transport().open_datagrams("127.0.0.1", 0)
            with mock.patch.object(socket.socket, "recvfrom", recvfrom):
                await curio.ignore_after(0.25, port.recvfrom)
            await port.close()

        with self.assertLogs("absl", "INFO") as logs:
            curio.run(main)
        self.assertGreater(len(calls), 1)
        self.assertLess(len(calls), 200)
        events = [record.message for record in logs.records]
        self.assertEqual(events, ["datagram_read_failed"])

    def test_closed_port_ends_its_reader(self):
        """Guards against a reader that goes on for good on a closed port."""

        async def main(transport):
            port = await transport.open_datagrams("127.0.0.1", 0)
            await port.close()
            async with curio.timeout_after(TIMEOUT_S):
                await port.recvfrom()

        for create in (create_socket_transport, create_memory_transport):
            with self.subTest(create.__name__), self.assertRaises(OSError):
                curio.run(main, create())


if __name__ == "__main__":
    unittest.main()
