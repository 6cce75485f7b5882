"""Tests of the operating document."""

import random
import unittest

from buckthorndeal.authentication import hash_key
from buckthorndeal.document import (
    Splice,
    apply_splice,
    create_diff,
    create_document,
    create_splice,
    restore_document,
)
from buckthorndeal.errors import DocumentError, ValidationError

TEAMS = f"""{{
  // Keys are stored as hashes.
  "teams": {{
    "platform": {{"key_hashes": ["{hash_key("platform-key")}"],
                 "sections": ["teams", "platform"]}},
    "accounts": {{"key_hashes": ["{hash_key("accounts-key")}"],
                 "sections": ["accounts", "support"]}}
  }}
}}"""
PLATFORM = """{
  "services": {"llm": {"kind": "model", "models": ["bell"]}},
  "regions": {"north": {"home": "n", "failure_domains": ["north-a"]},
              "south": {"home": "s", "failure_domains": ["south-a"]}},
  "placement": {"models": {"bell": {"version": "v1"}}}
}"""
ACCOUNTS = f"""{{
  "workspaces": {{"acme": {{"key_hashes": ["{hash_key("acme")}"],
                          "home_region": "north"}}}}
}}"""
TEXTS = {"teams": TEAMS, "platform": PLATFORM, "accounts": ACCOUNTS}


class DocumentTest(unittest.TestCase):
    """Splices, diffs, revisions and validation across sections."""

    def test_splice_of_random_texts_is_exact(self):
        """Guards against a common prefix and suffix that overlap by one character."""
        rng = random.Random(5)
        for _ in range(2000):
            old = "".join(rng.choices("ab\né", k=rng.randrange(8)))
            new = "".join(rng.choices("ab\né", k=rng.randrange(8)))
            self.assertEqual(apply_splice(old, create_splice(old, new)), new)

    def test_splice_outside_the_text_is_refused(self):
        """Guards against bounds that Python slicing silently clips."""
        for splice in (Splice(0, 4, ""), Splice(-1, 2, ""), Splice(2, 1, "")):
            with self.assertRaises(DocumentError):
                apply_splice("abc", splice)

    def test_diff_of_a_late_line_has_its_position_in_the_text(self):
        """Guards against line numbers relative to the compared part of the text."""
        old = "".join(f"{number}\n" for number in range(1, 101))
        diff = create_diff(old, old.replace("90\n", "x\n"), "a", "b")
        self.assertIn("@@ -87,7 +87,7 @@", diff)
        self.assertIn("-90\n+x\n", diff)
        self.assertEqual(create_diff(old, old, "a", "b"), "")

    def test_errors_name_section_and_path(self):
        """Guards against an inconsistency that is accepted or reported elsewhere."""
        cases = [
            ("accounts", '"north"', '"west"', "accounts", "$.workspaces.acme"),
            ("platform", '"north"', '"west"', "accounts", "$.workspaces.acme"),
            ("platform", '["bell"]', "[]", "platform", "$.placement.models.bell"),
            ("platform", "south-a", "north-a", "platform", "$.regions.south"),
            ("teams", '"teams", ', "", "teams", "$.teams"),
            ("teams", '"support"', '"platform"', "teams", "$.teams.accounts"),
            ("platform", '"kind"', '"knid"', "platform", "$.services"),
        ]
        document = create_document(TEXTS)
        for section, old, new, where, path in cases:
            with self.subTest(section=section, new=new):
                with self.assertRaises(ValidationError) as caught:
                    document.replace_section(section, TEXTS[section].replace(old, new))
                self.assertEqual(caught.exception.section, where)
                self.assertTrue(caught.exception.path.startswith(path))

    def test_update_must_follow_the_revision(self):
        """Guards against a subscriber that applies updates with a gap or twice."""
        document = create_document(TEXTS)
        splice = create_splice("", "{}")
        changed = document.apply_update("support", splice, 1, 2)
        self.assertEqual(changed.get_text("support"), "{}")
        for revision, section_revision in ((3, 1), (1, 1), (2, 2)):
            with self.assertRaises(DocumentError):
                document.apply_update("support", splice, section_revision, revision)

    def test_stored_document_keeps_text_and_revisions(self):
        """Guards against comments lost when a document is stored and restored."""
        document = create_document(TEXTS).replace_section("support", "{ /* c */ }")
        stored = {
            name: (entry.text, entry.revision)
            for name, entry in document.sections.items()
        }
        self.assertEqual(restore_document(document.revision, stored), document)


if __name__ == "__main__":
    unittest.main()
