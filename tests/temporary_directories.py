"""Directories for the temporary files of tests, in memory or on a disk.

A sync of a file in memory returns at once, while a slow disk stops all hosts that a
test runs in one process. Tests whose subject is what a disk keeps ask for a directory
on the disk with `create_durable_directory`.
"""

import contextlib
import fcntl
import os
import re
import shutil
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

# Environment variable that names another directory for temporary files.
DIRECTORY_VARIABLE = "BUCKTHORNDEAL_TEST_DIRECTORY"
# Environment variable that names the directory of the tests of durability.
DURABLE_VARIABLE = "BUCKTHORNDEAL_TEST_DURABLE_DIRECTORY"
MEMORY_DIRECTORY = "/dev/shm"
MEMORY_FILE = "/proc/meminfo"
PREFIX = "buckthorndeal-tests-"
MODULE_LIMIT_BYTES = 256 << 20
# Files in memory leave at least this part of the available memory to processes.
MEMORY_PART = 0.5
BLOCK_BYTES = 512
# A run that has just created its directory may not have locked it yet.
STALE_AGE_S = 60.0


class DirectoryError(Exception):
    """A directory cannot hold the temporary files of a run."""


@dataclass(frozen=True)
class Choice:
    """Directory that was chosen for temporary files.

    Parameters
    ----------
    path : str
        Directory that exists.
    reason : str
        Why it was chosen.
    """

    path: str
    reason: str


def read_free_bytes(path: str) -> int:
    """Return the bytes that files in a directory may take.

    Raises
    ------
    OSError
        If the file system cannot be asked.
    """
    status = os.statvfs(path)
    return status.f_bavail * status.f_frsize


def read_available_memory(file: str = MEMORY_FILE) -> int | None:
    """Return the bytes of memory that are left; None if the kernel does not tell."""
    try:
        with open(file, encoding="ascii") as stream:
            match = re.search(r"^MemAvailable: +(\d+) kB$", stream.read(), re.MULTILINE)
    except OSError:
        return None
    return int(match.group(1)) * 1024 if match else None


def check_directory(path: str, needed_bytes: int) -> None:
    """Check that a directory exists, is writable and has room.

    Raises
    ------
    DirectoryError
        If it cannot hold `needed_bytes` of files.
    """
    if not os.path.isdir(path):
        raise DirectoryError(f"{path} is no directory")
    try:
        with tempfile.TemporaryFile(dir=path) as file:
            file.write(b"x")
        free_bytes = read_free_bytes(path)
    except OSError as error:
        raise DirectoryError(f"{path} is not writable: {error.strerror}") from error
    if free_bytes < needed_bytes:
        raise DirectoryError(
            f"{path} has too little room: {format_size(free_bytes)} of "
            f"{format_size(needed_bytes)}"
        )


def check_memory(needed_bytes: int) -> None:
    """Check that files of that size leave enough memory to processes.

    Raises
    ------
    DirectoryError
        If they would take more than `MEMORY_PART` of the available memory.
    """
    available = read_available_memory()
    if available is not None and available * MEMORY_PART < needed_bytes:
        raise DirectoryError(
            f"too little memory is available: {format_size(available)}, of which files "
            f"may take {MEMORY_PART:.0%}, and {format_size(needed_bytes)} are needed"
        )


def choose_directory(
    needed_bytes: int, requested: str = "", memory_directory: str = MEMORY_DIRECTORY
) -> Choice:
    """Choose the directory for the temporary files of a run.

    Parameters
    ----------
    needed_bytes : int
        Room that the files may take.
    requested : str
        Directory that was asked for; empty for a directory in memory, or the
        default of the system where that cannot be used.
    memory_directory : str
        Directory of a file system in memory.

    Raises
    ------
    DirectoryError
        If the requested directory cannot be used.
    """
    if requested:
        check_directory(requested, needed_bytes)
        return Choice(os.path.abspath(requested), f"named by {DIRECTORY_VARIABLE}")
    try:
        check_directory(memory_directory, needed_bytes)
        check_memory(needed_bytes)
    except DirectoryError as error:
        reason = f"the default of the system, as {error}"
    else:
        return Choice(memory_directory, "in memory, where syncs wait for no disk")
    default = tempfile.gettempdir()
    try:
        check_directory(default, needed_bytes)
    except DirectoryError as error:
        reason += f"; {error}"
    return Choice(default, reason)


def create_durable_directory() -> tempfile.TemporaryDirectory:
    """Create a temporary directory on a disk, for a test of what a disk keeps."""
    return tempfile.TemporaryDirectory(dir=os.environ.get(DURABLE_VARIABLE) or None)


class RunDirectory:
    """Temporary directory of a run, with directories for each module that runs.

    Parameters
    ----------
    path : str
        Directory for temporary files.
    durable_path : str
        Directory for the files of tests of durability.
    """

    def __init__(self, path: str, durable_path: str):
        self.peak_bytes = 0
        self._path = path
        self._durable_path = durable_path
        self._lock = threading.Lock()
        self._sizes = {}

    @contextlib.contextmanager
    def create_module_directory(self, module: str) -> Iterator["ModuleDirectory"]:
        """Create the directories of a module, and remove them with all that is left.

        A module may run several times at once.
        """
        paths = [
            tempfile.mkdtemp(prefix=f"{module}-", dir=each)
            for each in (self._path, self._durable_path)
        ]
        try:
            yield ModuleDirectory(self, *paths)
        finally:
            for path in paths:
                shutil.rmtree(path, ignore_errors=True)
            self.record_size(paths[0], 0)

    def record_size(self, path: str, size: int) -> None:
        """Record the bytes that the temporary files of a module take now."""
        with self._lock:
            self._sizes[path] = size
            self.peak_bytes = max(self.peak_bytes, sum(self._sizes.values()))


class ModuleDirectory:
    """Directories of a module that runs."""

    def __init__(self, run: RunDirectory, path: str, durable_path: str):
        self._run = run
        self._path = path
        self._durable_path = durable_path

    def create_environment(self) -> dict[str, str]:
        """Return the environment variables of the process that runs the module."""
        names = {"TMPDIR": self._path, DURABLE_VARIABLE: self._durable_path}
        return {**os.environ, **names}

    def find_excess(self) -> str:
        """Return in words that the files take too much room; empty if they do not."""
        size = measure_directory(self._path)
        self._run.record_size(self._path, size)
        if size <= MODULE_LIMIT_BYTES:
            return ""
        return (
            f"its temporary files took {format_size(size)}, more than "
            f"{format_size(MODULE_LIMIT_BYTES)}"
        )


@contextlib.contextmanager
def create_run_directory(path: str, durable_path: str = "") -> Iterator[RunDirectory]:
    """Create the temporary directory of a run, and remove it at the end.

    Parameters
    ----------
    path : str
        Directory in which it is created.
    durable_path : str
        Directory in which that of the tests of durability is created; empty for the
        default of the system.
    """
    with (
        create_locked_directory(path) as directory,
        create_locked_directory(durable_path or tempfile.gettempdir()) as durable,
    ):
        yield RunDirectory(directory, durable)


@contextlib.contextmanager
def create_locked_directory(parent: str) -> Iterator[str]:
    """Create a directory, and remove it at the end with those of killed runs."""
    path = tempfile.mkdtemp(prefix=PREFIX, dir=parent)
    descriptor = lock_directory(path)
    try:
        remove_stale_directories(parent)
        yield path
    finally:
        shutil.rmtree(path, ignore_errors=True)
        os.close(descriptor)


def lock_directory(path: str) -> int:
    """Lock a directory until the process ends or closes the returned descriptor.

    Raises
    ------
    OSError
        If another process has locked it, or it cannot be opened.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def remove_stale_directories(parent: str) -> None:
    """Remove the directories of runs that were killed; running ones hold a lock."""
    for name in os.listdir(parent):
        path = os.path.join(parent, name)
        if not name.startswith(PREFIX):
            continue
        with contextlib.suppress(OSError):
            if time.time() - os.stat(path).st_mtime < STALE_AGE_S:
                continue
            descriptor = lock_directory(path)
            shutil.rmtree(path, ignore_errors=True)
            os.close(descriptor)


def measure_directory(path: str) -> int:
    """Return the bytes that files in a directory take; they may change meanwhile.

    Files that were removed while a process has them open are not counted.
    """
    size = 0
    for parent, _, names in os.walk(path):
        for name in names:
            with contextlib.suppress(OSError):
                size += os.lstat(os.path.join(parent, name)).st_blocks * BLOCK_BYTES
    return size


def format_size(size: int) -> str:
    """Return a size in megabytes, such as ``12 MB``."""
    return f"{size / (1 << 20):.0f} MB"
