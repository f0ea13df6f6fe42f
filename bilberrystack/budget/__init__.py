"""Decides what connections may make the process hold; without input or output."""
