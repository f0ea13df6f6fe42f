"""Limits of client accounts, which instances enforce with fractions that the coordinator lends."""
