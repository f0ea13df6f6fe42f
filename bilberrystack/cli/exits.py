"""Exit codes of the commands."""

OK = 0
FAILED = 1

# Invalid arguments or settings.
USAGE = 2

# The instance rejected the call, or the change conflicts with another one; nothing has changed.
REFUSED = 3

# The instance was unreachable before a change was sent, or did not answer a read-only call; nothing
# has changed.
UNREACHABLE = 4

# The change may have taken effect; it can be repeated with the same operation id.
UNKNOWN = 5

# The configuration version is not yet in force at all live instances.
LAGGING = 6

# The burn rate of a service level exceeds 1 over both windows.
BURNING = 7
