"""Durable creation and replacement of files and directories."""

import contextlib
import os
from collections.abc import Iterable

__all__ = [
    "TEMPORARY_SUFFIX",
    "create_file",
    "make_directory",
    "replace_file",
    "sync_directory",
]

TEMPORARY_SUFFIX = ".new"


def make_directory(path: str) -> None:
    """Create a directory and its parents; their entries are durable on return."""
    path = os.path.abspath(path)
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    make_directory(parent)
    os.makedirs(path, exist_ok=True)
    sync_directory(parent)


def sync_directory(path: str) -> None:
    """Make the entries of a directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def create_file(path: str, mode: int) -> int:
    """Create an empty file and return a descriptor that writes to it.

    A file of that name is removed first, not emptied: after a loss of power within a
    rename it may be the renamed file under its earlier name.

    Raises
    ------
    OSError
        If the file cannot be created.
    """
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)


def replace_file(path: str, parts: Iterable[bytes], mode: int = 0o644) -> None:
    """Replace a file atomically; its content is durable on return.

    Parameters
    ----------
    path : str
        Path of the file. After a crash it has either the old or the new content.
    parts : iterable of bytes
        The new content, in consecutive parts.
    mode : int
        Permissions of the new file.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    temporary = path + TEMPORARY_SUFFIX
    with os.fdopen(create_file(temporary, mode), "wb") as stream:
        for part in parts:
            stream.write(part)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary, path)
    sync_directory(os.path.dirname(path) or ".")
