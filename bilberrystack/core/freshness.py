"""Decides whether an instance's configuration is recent enough to serve requests."""

# Maximum age of a recent contact, in seconds. An instance accepts a configuration change only after
# contact to a majority of the failure domains within this time, and pushes the change to every
# failure domain. An instance with recent contact to the store or to a majority therefore learns of
# it.
MAX_CONTACT_AGE_S = 4.0


def may_serve(
    now: float, store_contact_at: float | None, majority_contact_at: float | None
) -> bool:
    """Returns whether requests may be served under the current configuration.

    Args:
      now: Seconds of the event loop's clock.
      store_contact_at: Time of the store's last answer; None if it has never answered.
      majority_contact_at: Latest time since which a majority of the failure domains has sent a
        message; None if a majority has never done so.
    Returns:
      True if the contact to the store or to a majority is recent.
    """
    return _is_recent(now, store_contact_at) or _is_recent(now, majority_contact_at)


def may_accept_changes(now: float, majority_contact_at: float | None) -> bool:
    """Returns whether this instance may accept a configuration change.

    Args:
      now: Seconds of the event loop's clock.
      majority_contact_at: Latest time since which a majority of the failure domains has sent a
        message; None if a majority has never done so.
    Returns:
      True if the contact to a majority is recent.
    """
    return _is_recent(now, majority_contact_at)


def _is_recent(now: float, contact_at: float | None) -> bool:
    return contact_at is not None and now - contact_at <= MAX_CONTACT_AGE_S
