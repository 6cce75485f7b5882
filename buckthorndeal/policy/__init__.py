"""Decisions of an entry host: route choice, admission, budgets and credits."""
