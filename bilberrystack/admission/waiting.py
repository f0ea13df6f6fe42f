"""Limits on the time that a statement may wait for a member whose connections are all in use.

A member under overload stays busy for as long as the load lasts. There are two rules.

By the short rule a statement is rejected early, and its client retries, usually at another
instance: long waits would delay every statement without serving more of them. By the long rule a
statement waits as long as its answer can arrive within its time limit, if its queue is expected to
be served by then. The short rule refused 619 of about 830 unserved requests of a deployment with
long objectives at each of their three tries, with 12 to 15 s of their time limit left.

If no member can serve the statement at all, as during a primary change, the wait ends with that
change and is worthwhile.
"""

# Fraction of an operation's latency objective that its first statement may wait for a busy member
# by the short rule. Users count a rejection after a quarter of the objective as late, and the
# response needs part of that time to reach the client.
MAX_WAIT_FRACTION = 0.2

# Fraction of the latency objective during which a statement is sent again to a busy member by the
# short rule.
RETRY_FRACTION = 0.3

# Without accounts, the long rule applies where the latency objective is at least this multiple of
# the time limit of a statement. With 0.75, a deployment with many owners of few connections each
# was served 0.923 of a day; with the short rule 0.958.
LONG_OBJECTIVE_FACTOR = 4.0

# Fraction of a statement's time limit that it may wait for a member; the rest is for running it.
WAIT_DEADLINE_FRACTION = 0.85


def waits_long(latency_objective_s: float, timeout_s: float, accounts_enabled: bool) -> bool:
    """Returns whether the long rule applies to a statement.

    Args:
      latency_objective_s: Latency objective of the statement's operation, in seconds.
      timeout_s: Time limit of the statement, in seconds.
      accounts_enabled: Whether the statement's group serves client accounts.
    """
    return accounts_enabled or latency_objective_s >= timeout_s * LONG_OBJECTIVE_FACTOR


def max_wait_s(latency_objective_s: float, timeout_s: float, accounts_enabled: bool) -> float:
    """Returns the maximum wait for a connection to a busy member, in seconds.

    Args:
      latency_objective_s: Latency objective of the statement's operation, in seconds.
      timeout_s: Time limit of the statement, in seconds.
      accounts_enabled: Whether the statement's group serves client accounts.
    """
    if waits_long(latency_objective_s, timeout_s, accounts_enabled):
        return timeout_s * WAIT_DEADLINE_FRACTION
    return latency_objective_s * MAX_WAIT_FRACTION


def retry_until_s(
    arrived_at_s: float, latency_objective_s: float, timeout_s: float, accounts_enabled: bool
) -> float:
    """Returns the time until which a statement is sent again to a member that was too busy.

    Args:
      arrived_at_s: Time at which the statement arrived.
      latency_objective_s: Latency objective of the statement's operation, in seconds.
      timeout_s: Time limit of the statement, in seconds.
      accounts_enabled: Whether the statement's group serves client accounts.
    """
    if waits_long(latency_objective_s, timeout_s, accounts_enabled):
        return arrived_at_s + timeout_s * WAIT_DEADLINE_FRACTION
    return arrived_at_s + latency_objective_s * RETRY_FRACTION


def expected_wait_s(queued_ahead: int, connections: int, hold_time_s: float) -> float:
    """Returns the expected wait for a connection to a busy member by the short rule, in seconds.

    Args:
      queued_ahead: Statements that wait in front of this one.
      connections: Connections of this instance to the members that can run the statement.
      hold_time_s: Time for which a statement holds a connection, in seconds, including its wait in
        the member's own queue.
    """
    return (queued_ahead + 1) * hold_time_s / max(1, connections)
