"""Decisions of the session mode, without input or output: where and when a statement runs."""
