"""Exit codes of the commands."""

OK = 0
FAILED = 1
USAGE = 2

# The change was refused or conflicts with another one; it has not taken effect.
REFUSED = 3

# The instance could not be reached before the change was sent; nothing has changed.
UNREACHABLE = 4

# The change may have taken effect; repeat it with the same operation id.
UNKNOWN = 5

# The version is not in force at every live instance yet.
LAGGING = 6

# A service level burns its error budget too fast.
BURNING = 7
