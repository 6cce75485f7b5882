"""Prompts that crash endpoints: evidence, and what follows from it; no I/O."""

from buckthorndeal.quarantine._parts import digest_part, list_shared_parts

__all__ = ["digest_part", "list_shared_parts"]
