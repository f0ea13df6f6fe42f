"""Client accounts: who may use the databases, under which keys and limits."""
