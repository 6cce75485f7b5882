"""Tests of the durable creation and replacement of files."""

import os
import unittest
from unittest import mock

from buckthorndeal import _files
from tests.temporary_directories import create_durable_directory


class FilesTest(unittest.TestCase):
    """Writes, renames and syncs happen in an order that survives a power failure."""

    def setUp(self):
        directory = create_durable_directory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def test_each_new_directory_is_synced_in_its_parent(self):
        """Guards against a data directory that is lost in a power failure."""
        synced = []
        with mock.patch.object(_files, "sync_directory", synced.append):
            _files.make_directory(os.path.join(self.directory, "a", "b"))
            _files.make_directory(os.path.join(self.directory, "a", "b"))
        self.assertEqual(synced, [self.directory, os.path.join(self.directory, "a")])

    def test_content_is_synced_before_it_replaces_the_file(self):
        """Guards against a file that is empty after a power failure."""
        path = os.path.join(self.directory, "file")
        _files.replace_file(path, [b"old"])
        events = []
        real_fsync, real_replace = os.fsync, os.replace

        def fsync(descriptor):
            events.append("sync")
            real_fsync(descriptor)

        def replace(source, target):
            events.append("replace")
            real_replace(source, target)

        with mock.patch("os.fsync", fsync), mock.patch("os.replace", replace):
            _files.replace_file(path, [b"new ", b"content"])
        self.assertEqual(events, ["sync", "replace", "sync"])
        with open(path, "rb") as stream:
            self.assertEqual(stream.read(), b"new content")
        self.assertEqual(os.listdir(self.directory), ["file"])


if __name__ == "__main__":
    unittest.main()
