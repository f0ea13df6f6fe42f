"""Whether an instance may serve requests under the configuration that it has."""

# An accepting instance pushes a new configuration to every failure domain and must itself have
# heard from a majority of them within this time, so an instance in contact with the store or with a
# majority learns of a change.
CONTACT_LIMIT_S = 4.0


def may_serve(
    now: float, store_contact_at: float | None, majority_contact_at: float | None
) -> bool:
    """Tells whether the configuration is certain enough to serve requests.

    Args:
      now: Seconds of the runtime's clock.
      store_contact_at: When the store last answered; None if never.
      majority_contact_at: The latest instant since which a majority of the failure domains has been
        heard from; None if a majority was never heard from.
    Returns:
      Whether either contact is recent.
    """
    return _recent(now, store_contact_at) or _recent(now, majority_contact_at)


def may_accept_changes(now: float, majority_contact_at: float | None) -> bool:
    """Tells whether this instance may accept a configuration change.

    Args:
      now: Seconds of the runtime's clock.
      majority_contact_at: As for may_serve.
    Returns:
      Whether a majority of the failure domains has been heard from recently.
    """
    return _recent(now, majority_contact_at)


def _recent(now: float, instant: float | None) -> bool:
    return instant is not None and now - instant <= CONTACT_LIMIT_S
