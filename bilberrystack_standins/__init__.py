"""Test doubles for the platform and for database members; for tests and demonstrations only."""
