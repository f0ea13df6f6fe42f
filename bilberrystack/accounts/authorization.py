"""Decides whether a session may begin a statement, by its key and the configuration in force."""

import dataclasses
import enum

from bilberrystack.accounts import accounts


class Denial(enum.Enum):
    """Why a session may not begin a statement."""

    UNKNOWN_KEY = "no account has the key"
    NOT_VERIFIED = "the instance can't verify keys at present"


@dataclasses.dataclass(frozen=True, slots=True)
class RevocationTerms:
    """How soon a revoked key is out of use.

    Attributes:
      strict: Whether an instance that can't verify its configuration refuses all keys.
      bound_s: Time for which a verified configuration may be relied on, in seconds.
    """

    strict: bool = False
    bound_s: float = 5.0

    def permits_age(self, verified_age_s: float) -> bool:
        """Return whether a configuration of this age may be relied on for keys.

        Args:
          verified_age_s: Time since the configuration was known to be the newest one, in seconds.
        """
        return not self.strict or verified_age_s <= self.bound_s


DEFAULT_TERMS = RevocationTerms()


def authorize(
    declared: accounts.Accounts | None,
    anonymous: bool,
    key_digest: bytes | None,
    terms: RevocationTerms,
    verified_age_s: float,
) -> accounts.Account | Denial | None:
    """Decide under which account a session may use a database.

    Args:
      declared: The accounts in force; None if the deployment has none.
      anonymous: Whether the database may be used without a key.
      key_digest: Digest of the session's key; None if it has given none.
      terms: How soon a revoked key is out of use.
      verified_age_s: Time since the configuration was known to be the newest one, in seconds.
    Returns:
      The account; None if the session needs none; otherwise why it may not use the database.
    """
    if declared is None:
        return None
    account = None if key_digest is None else declared.account_of(key_digest)
    if account is None:
        return None if anonymous else Denial.UNKNOWN_KEY
    if not terms.permits_age(verified_age_s):
        return Denial.NOT_VERIFIED
    return account
