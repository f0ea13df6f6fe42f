"""Demonstrations, measurements and tests that run real processes beside the stand-ins."""
