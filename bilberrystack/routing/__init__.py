"""Routing decisions of session mode, free of I/O: where and when a statement runs."""
