"""Decisions on which member of a group runs a statement, free of I/O."""
