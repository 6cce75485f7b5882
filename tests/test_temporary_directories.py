"""Tests of the directories that the test runner gives to tests."""

import errno
import os
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from tests import parallel, temporary_directories
from tests.temporary_directories import (
    DIRECTORY_VARIABLE,
    DURABLE_VARIABLE,
    DirectoryError,
    check_directory,
    choose_directory,
    create_durable_directory,
    create_run_directory,
    measure_directory,
    read_available_memory,
)

NEEDED_BYTES = 1 << 20
# More than any file system has.
HUGE_BYTES = 1 << 80


class DirectoryTest(unittest.TestCase):
    """Starts each test with an empty directory."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def replace(self, name, value):
        patch = mock.patch.object(temporary_directories, name, value)
        patch.start()
        self.addCleanup(patch.stop)


class ChoiceTest(DirectoryTest):
    """The directory in memory is used if it can be, and a requested one always."""

    def setUp(self):
        super().setUp()
        self.replace("read_available_memory", lambda: 4 * NEEDED_BYTES)

    def choose(self, needed_bytes=NEEDED_BYTES):
        return choose_directory(needed_bytes, memory_directory=self.directory)

    def check_default(self, choice, reason):
        self.assertEqual(choice.path, tempfile.gettempdir())
        self.assertIn(reason, choice.reason)

    def test_directory_in_memory_is_chosen(self):
        """Guards against tests that wait for the disk though memory is there."""
        self.assertEqual(self.choose().path, self.directory)

    def test_missing_directory(self):
        """Guards against a runner that ends on a machine without such a directory."""
        self.directory = os.path.join(self.directory, "missing")
        self.check_default(self.choose(), "is no directory")

    def test_file_in_place_of_a_directory(self):
        self.directory = os.path.join(self.directory, "file")
        with open(self.directory, "w", encoding="ascii"):
            self.check_default(self.choose(), "is no directory")

    def test_read_only_directory(self):
        """Guards against tests that all fail as no file can be created.

        The permissions of a directory do not hold for a privileged user.
        """
        error = OSError(errno.EROFS, os.strerror(errno.EROFS))
        with mock.patch("tempfile.TemporaryFile", side_effect=error):
            choice = self.choose()
        self.check_default(choice, "is not writable: Read-only file system")

    def test_full_directory(self):
        """Guards against a choice by a file that could be created, but not written."""
        file = mock.MagicMock()
        error = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        file.__enter__.return_value.write.side_effect = error
        with mock.patch("tempfile.TemporaryFile", return_value=file):
            choice = self.choose()
        self.check_default(choice, "is not writable: No space left on device")

    def test_directory_that_is_too_small(self):
        """Guards against tests that fail as the directory runs full."""
        self.replace("read_free_bytes", lambda path: NEEDED_BYTES - 1)
        self.check_default(self.choose(), "has too little room: 1 MB of 1 MB")

    def test_too_little_memory(self):
        """Guards against files that take the memory of the processes."""
        self.replace("read_available_memory", lambda: 2 * NEEDED_BYTES - 1)
        self.check_default(self.choose(), "too little memory is available")

    def test_unknown_memory(self):
        """Guards against a runner that ends on a kernel that does not count it."""
        self.replace("read_available_memory", lambda: None)
        self.assertEqual(self.choose().path, self.directory)

    def test_both_directories_are_too_small(self):
        """Guards against a shortage that is not told."""
        choice = self.choose(HUGE_BYTES)
        self.check_default(choice, f"{tempfile.gettempdir()} has too little room")

    def test_requested_directory(self):
        """Guards against a setting that has no effect."""
        choice = choose_directory(NEEDED_BYTES, self.directory)
        self.assertEqual(choice.path, self.directory)
        self.assertIn(DIRECTORY_VARIABLE, choice.reason)

    def test_requested_directory_that_cannot_be_used(self):
        """Guards against a run in another directory than the one that was named."""
        for path, needed_bytes in (
            (os.path.join(self.directory, "missing"), NEEDED_BYTES),
            (self.directory, HUGE_BYTES),
        ):
            with self.subTest(path=path), self.assertRaises(DirectoryError):
                choose_directory(needed_bytes, path)

    def test_check_leaves_no_file(self):
        check_directory(self.directory, NEEDED_BYTES)
        self.assertEqual(os.listdir(self.directory), [])


class AvailableMemoryTest(DirectoryTest):
    """The available memory is read from the text of the kernel."""

    def read(self, text):
        path = os.path.join(self.directory, "meminfo")
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        return read_available_memory(path)

    def test_text_of_the_kernel(self):
        text = "MemFree:  10 kB\nMemAvailable:   2048 kB\n"
        self.assertEqual(self.read(text), 2048 * 1024)

    def test_missing(self):
        """Guards against a runner that ends on a kernel without this figure."""
        self.assertIsNone(self.read("MemFree:  10 kB\n"))
        self.assertIsNone(read_available_memory(os.path.join(self.directory, "none")))


class RunDirectoryTest(DirectoryTest):
    """Modules get directories of their own, which are removed with all that is left."""

    def setUp(self):
        super().setUp()
        self.durable = os.path.join(self.directory, "durable")
        os.mkdir(self.durable)

    def create_run_directory(self):
        return create_run_directory(self.directory, self.durable)

    def list_files(self):
        return [each for _, _, names in os.walk(self.directory) for each in names]

    def test_what_a_module_leaves_is_removed(self):
        """Guards against memory that is taken until the machine is restarted."""
        with self.create_run_directory() as run:
            with run.create_module_directory("tests.test_x") as directory:
                environment = directory.create_environment()
                for name in ("TMPDIR", DURABLE_VARIABLE):
                    path = os.path.join(environment[name], "left")
                    with open(path, "w", encoding="ascii") as file:
                        file.write("x")
            self.assertEqual(self.list_files(), [])
        self.assertEqual(os.listdir(self.directory), ["durable"])
        self.assertEqual(os.listdir(self.durable), [])

    def test_directories_are_removed_after_an_error(self):
        """Guards against directories that an interrupted run leaves."""
        with self.assertRaises(KeyboardInterrupt), self.create_run_directory():
            raise KeyboardInterrupt
        self.assertEqual(os.listdir(self.directory), ["durable"])
        self.assertEqual(os.listdir(self.durable), [])

    def test_module_that_runs_several_times_at_once(self):
        """Guards against a run that ends as a module is named twice."""
        with (
            self.create_run_directory() as run,
            run.create_module_directory("tests.test_x") as first,
            run.create_module_directory("tests.test_x") as second,
        ):
            paths = [each.create_environment()["TMPDIR"] for each in (first, second)]
        self.assertNotEqual(*paths)

    def test_directories_of_killed_runs_are_removed(self):
        """Guards against memory that a killed run takes until the machine restarts."""
        script = (
            "import os, sys; from tests.temporary_directories import *\n"
            "with create_run_directory(*sys.argv[1:]): os._exit(1)"
        )
        command = [sys.executable, "-c", script, self.directory, self.durable]
        subprocess.run(command)
        killed = [each for each in os.listdir(self.directory) if each != "durable"]
        self.assertEqual(len(killed), 1)
        with self.create_run_directory():
            self.assertIn(killed[0], os.listdir(self.directory))
        self.replace("STALE_AGE_S", 0.0)
        with self.create_run_directory():
            self.assertNotIn(killed[0], os.listdir(self.directory))
        self.assertEqual(os.listdir(self.directory), ["durable"])
        self.assertEqual(os.listdir(self.durable), [])

    def test_directories_of_other_runs_stay(self):
        """Guards against a run that removes the files of one beside it."""
        self.replace("STALE_AGE_S", 0.0)
        with self.create_run_directory(), self.create_run_directory():
            self.assertEqual(len(os.listdir(self.durable)), 2)

    def test_other_directories_stay(self):
        """Guards against the removal of files that are not of the runner."""
        self.replace("STALE_AGE_S", 0.0)
        os.mkdir(os.path.join(self.directory, "other"))
        with self.create_run_directory():
            self.assertIn("other", os.listdir(self.directory))

    def test_most_that_modules_took_together_is_kept(self):
        """Guards against the peak of one module in place of that of the run."""
        with self.create_run_directory() as run:
            for module, size in (("a", 3), ("b", 4), ("a", 0), ("b", 5)):
                run.record_size(module, size)
            self.assertEqual(run.peak_bytes, 7)

    def test_excess_is_told(self):
        """Guards against a module that fills the memory of the machine."""
        with (
            self.create_run_directory() as run,
            run.create_module_directory("tests.test_x") as directory,
        ):
            self.assertEqual(directory.find_excess(), "")
            path = directory.create_environment()["TMPDIR"]
            with open(os.path.join(path, "file"), "wb") as file:
                file.write(b"x" * 10_000)
            self.assertEqual(directory.find_excess(), "")
            self.assertGreaterEqual(run.peak_bytes, 10_000)
            self.replace("MODULE_LIMIT_BYTES", 9_000)
            self.assertIn("more than", directory.find_excess())

    def test_file_that_vanishes_is_not_counted(self):
        """Guards against a runner that ends as a test removes its files."""
        os.symlink("nowhere", os.path.join(self.directory, "link"))
        with mock.patch("os.lstat", side_effect=FileNotFoundError):
            self.assertEqual(measure_directory(self.directory), 0)


class ModuleProcessTest(DirectoryTest):
    """Processes of modules get the directories, and end if they take too much."""

    def start(self, directory, script):
        process = subprocess.Popen(
            [sys.executable, "-c", script],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=directory.create_environment(),
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def run_script(self, script, timeout_s=20.0):
        with (
            create_run_directory(self.directory, self.directory) as run,
            run.create_module_directory("tests.test_x") as directory,
        ):
            process = self.start(directory, script)
            return parallel.wait_for_process(process, timeout_s, directory)

    def test_process_uses_the_directories(self):
        """Guards against tests of durability in memory, and others on the disk."""
        script = (
            "import os, tempfile; from tests.temporary_directories import *\n"
            "print(tempfile.gettempdir())\n"
            "print(os.path.dirname(create_durable_directory().name))"
        )
        with (
            create_run_directory(self.directory, self.directory) as run,
            run.create_module_directory("tests.test_x") as directory,
        ):
            process = self.start(directory, script)
            output, _ = parallel.wait_for_process(process, 20.0, directory)
            environment = directory.create_environment()
        expected = [environment["TMPDIR"], environment[DURABLE_VARIABLE]]
        self.assertEqual(output.split(), expected)
        self.assertNotEqual(*expected)

    def test_process_that_takes_too_much_room_is_ended(self):
        """Guards against a module that fills the memory of the machine."""
        self.replace("MODULE_LIMIT_BYTES", 100_000)
        script = (
            "import sys, tempfile, time; file = tempfile.NamedTemporaryFile()\n"
            "print('written', file=sys.stderr, flush=True)\n"
            "file.write(b'x' * 200_000); file.flush(); time.sleep(60)"
        )
        output, ended_early = self.run_script(script)
        self.assertTrue(ended_early)
        self.assertIn("written", output)
        self.assertIn("ended by the test runner: its temporary files took", output)

    def test_process_that_takes_too_long_is_ended(self):
        """Guards against a run that waits for ever for one module."""
        output, ended_early = self.run_script("import time; time.sleep(60)", 0.1)
        self.assertTrue(ended_early)
        self.assertIn("ended by the test runner: it took more than", output)


class DurableDirectoryTest(DirectoryTest):
    """A test of durability gets the directory that the runner names."""

    def create(self, **variables):
        with mock.patch.dict(os.environ, variables):
            directory = create_durable_directory()
        self.addCleanup(directory.cleanup)
        return os.path.dirname(directory.name)

    def test_named_directory(self):
        self.assertEqual(
            self.create(**{DURABLE_VARIABLE: self.directory}), self.directory
        )

    def test_no_directory_is_named(self):
        """Guards against a module that cannot be run without the runner."""
        self.assertEqual(self.create(**{DURABLE_VARIABLE: ""}), tempfile.gettempdir())


class RunnerTest(DirectoryTest):
    """The runner refuses a directory that it was told to use and cannot."""

    def test_missing_directory_is_refused(self):
        """Guards against a run that begins in a directory that is not there."""
        for variable in (DIRECTORY_VARIABLE, DURABLE_VARIABLE):
            with self.subTest(variable=variable):
                process = subprocess.run(
                    [sys.executable, "-m", "tests.parallel", "tests.test_files"],
                    env={**os.environ, variable: self.directory + "/missing"},
                    capture_output=True,
                    text=True,
                )
                self.assertEqual(process.returncode, 2)
                self.assertIn("missing is no directory", process.stderr)
                self.assertEqual(process.stdout, "")


if __name__ == "__main__":
    unittest.main()
