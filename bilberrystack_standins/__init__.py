"""Stand-ins of the platform and of database members, for tests and demonstrations only."""
