"""Client accounts as operators declare them, and the keys that belong to them.

Keys are kept as digests only, so that no log line, error or memory dump of a structure shows one.
"""

import collections.abc
import dataclasses
import hashlib
import math

_DIGEST_BYTES = 16


class InvalidAccount(ValueError):
    """A declaration of accounts can't be used; the text names the field, and never shows a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      name: Name by which members know the account.
      rate_per_s: Operations that it may run per second, over all instances; None for no limit.
      burst: Operations that it may run at once beyond its rate.
      priority: Priority that the operator has declared; 0 is the most urgent.
    """

    name: str
    rate_per_s: float | None = None
    burst: float = 0.0
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """An account with its keys, as an operator writes it.

    Attributes:
      account: The account.
      keys: Its keys; an account without keys can't be used.
    """

    account: Account
    keys: tuple[str, ...] = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Accounts:
    """All accounts of a configuration.

    Attributes:
      by_name: The accounts by name.
    """

    by_name: collections.abc.Mapping[str, Account]
    _names_by_digest: collections.abc.Mapping[bytes, str] = dataclasses.field(repr=False)

    def account_of(self, key_digest: bytes) -> Account | None:
        """Return the account that has a key; None if no account has it.

        Args:
          key_digest: Digest of the key, see `digest`.
        """
        name = self._names_by_digest.get(key_digest)
        return None if name is None else self.by_name[name]

    def digests_of(self, name: str) -> list[bytes]:
        """Return the digests of an account's keys.

        Args:
          name: Name of the account.
        """
        return [each for each, owner in self._names_by_digest.items() if owner == name]


def from_digests(
    declared: collections.abc.Iterable[tuple[Account, collections.abc.Iterable[bytes]]],
) -> Accounts:
    """Return accounts whose keys are known by their digests only.

    Args:
      declared: The accounts, each with the digests of its keys.
    Raises:
      InvalidAccount: A name, a limit or a digest can't be used.
    """
    by_name: dict[str, Account] = {}
    names_by_digest: dict[bytes, str] = {}
    for number, (account, digests) in enumerate(declared):
        _check_account(f"accounts[{number}]", account, by_name)
        by_name[account.name] = account
        for key_number, each in enumerate(digests):
            if each in names_by_digest:
                raise InvalidAccount(
                    f"accounts[{number}].keys[{key_number}]: is declared twice, also for account "
                    f"{names_by_digest[each]}"
                )
            names_by_digest[each] = account.name
    return Accounts(by_name, names_by_digest)


def digest(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.blake2s(key.encode(), digest_size=_DIGEST_BYTES).digest()


def create(declarations: collections.abc.Sequence[Declaration]) -> Accounts:
    """Check declared accounts as a whole, and return them.

    Args:
      declarations: The accounts in the order of their declaration, in which errors name them.
    Raises:
      InvalidAccount: A name, a key or a limit can't be used.
    """
    for number, declaration in enumerate(declarations):
        for key_number, key in enumerate(declaration.keys):
            if not key or " " in key or not key.isprintable():
                raise InvalidAccount(f"accounts[{number}].keys[{key_number}]: must be a word")
    return from_digests(
        (declaration.account, [digest(key) for key in declaration.keys])
        for declaration in declarations
    )


def _check_account(
    field: str, account: Account, known: collections.abc.Mapping[str, Account]
) -> None:
    if not account.name or " " in account.name or not account.name.isprintable():
        raise InvalidAccount(f"{field}.name: must be a word")
    if account.name in known:
        raise InvalidAccount(f"{field}.name: {account.name} is declared twice")
    for name, value in (("rate_per_s", account.rate_per_s), ("burst", account.burst)):
        if value is not None and not (math.isfinite(value) and value >= 0):
            raise InvalidAccount(f"{field}.{name}: must be a finite number of at least 0")
