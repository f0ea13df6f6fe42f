"""Adapter to the users' platform: formats and calls, without decisions."""
