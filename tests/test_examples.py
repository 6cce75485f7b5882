"""Tests of the example settings."""

import unittest
from pathlib import Path

from buckthorndeal.command_control import load

EXAMPLES = Path(__file__).parent.parent / "examples"


class ControlExamplesTest(unittest.TestCase):
    """Loads the control settings of each deployment."""

    def test_every_control_host_loads(self):
        """Guards against examples that the daemon would refuse."""
        for deployment in ("kelawar", "brazos"):
            files = sorted((EXAMPLES / deployment).glob("control-*.jsonc"))
            self.assertEqual(len(files), 4)
            for file in files:
                with self.subTest(file=file.name):
                    settings, texts = load(str(file))
                    self.assertEqual(settings.host, file.stem)
                    self.assertEqual(len(settings.voters), 3)
                    self.assertEqual(
                        set(texts), {"teams", "platform", "accounts", "support"}
                    )


if __name__ == "__main__":
    unittest.main()
