"""Tests of settings files."""

import pathlib
import tempfile
import unittest

from buckthorndeal.errors import SettingsError
from buckthorndeal.settings import (
    ControlSettings,
    CoordinatorSettings,
    EntrySettings,
    GatewaySettings,
    load_settings,
    parse_settings,
)

VALID = """{
  // Comments are allowed.
  "host": "entry-1", "region": "shah-alam", "failure_domain": "shah-alam-a",
  "listen": {"port": 8080}, "peer_listen": {"port": 9080},
  "control_hosts": [{"host": "control-1", "port": 9180}],
  "peer_keys": ["00112233445566778899aabbccddeeff"]
}"""


class SettingsTest(unittest.TestCase):
    """Validation of settings text."""

    def test_comments_are_accepted(self):
        """Guards against a parser that only accepts plain JSON."""
        settings = parse_settings(VALID, EntrySettings, "entry.jsonc")
        self.assertEqual(settings.listen.port, 8080)

    def test_error_names_file_path_value_and_allowed(self):
        """Guards against errors that do not name the value to change."""
        text = VALID.replace("9080", "90800")
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text, EntrySettings, "entry.jsonc")
        error = caught.exception
        self.assertEqual(error.file, "entry.jsonc")
        self.assertEqual(error.path, "$.peer_listen.port")
        self.assertEqual(error.value, 90800)
        self.assertIn("65535", error.allowed)

    def test_unknown_field_is_refused(self):
        """Guards against a misspelt field that is silently ignored."""
        text = VALID.replace('"region"', '"regoin": "x", "region"')
        with self.assertRaisesRegex(SettingsError, "regoin"):
            parse_settings(text, EntrySettings, "entry.jsonc")

    def test_file_that_is_not_text_is_refused(self):
        """Guards against UnicodeDecodeError, which ends a reload without its log."""
        with tempfile.TemporaryDirectory() as directory:
            file = pathlib.Path(directory) / "entry.jsonc"
            file.write_bytes(b"\xff" + VALID.encode())
            with self.assertRaises(SettingsError):
                load_settings(str(file), EntrySettings)

    def test_deeply_nested_text_is_refused(self):
        """Guards against RecursionError of the parser."""
        with self.assertRaises(SettingsError):
            parse_settings("[" * 5_000, EntrySettings, "entry.jsonc")

    def test_memory_of_the_process_is_validated(self):
        """Guards against a size in megabytes, with which nothing would fit."""
        for size, is_valid in ((200_000_000, True), (200, False)):
            text = VALID.replace('"region"', f'"memory_bytes": {size}, "region"')
            with self.subTest(size):
                if is_valid:
                    settings = parse_settings(text, EntrySettings, "entry.jsonc")
                    self.assertEqual(settings.memory_bytes, size)
                    continue
                with self.assertRaisesRegex(SettingsError, "memory_bytes"):
                    parse_settings(text, EntrySettings, "entry.jsonc")

    def test_each_daemon_has_a_memory_size(self):
        for model in (ControlSettings, CoordinatorSettings, GatewaySettings):
            self.assertIn("memory_bytes", model.__struct_fields__)


if __name__ == "__main__":
    unittest.main()
