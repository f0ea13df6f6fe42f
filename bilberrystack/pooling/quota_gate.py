"""Counts the operations of client accounts before they run at members."""

import asyncio
import collections.abc
import dataclasses

import loguru

from bilberrystack.accounts import accounts
from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.quotas import allowances
from bilberrystack.quotas import shares

_LOG = loguru.logger.bind(component="quota")

# An operation that is sent later than this after it was counted is counted again. Operations that
# wait at the same time and are then sent together come on top of the bound of a window: 0.2 s of
# the rate are 4% of it.
COUNT_VALID_S = 0.2

# Interval at which an operation asks again for room while no coordinator answers. After a loss of
# power of all machines there is none for one to two seconds; clients that are refused at once use
# up their tries within milliseconds.
COORDINATOR_RETRY_S = 0.05

# Pause between log lines about one account whose operations are refused.
REFUSAL_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Charge:
    """An operation that was counted.

    Attributes:
      account: Name of the account.
      taken: The count, to be returned if the operation does not run.
      taken_at_s: Instant of the count.
      runs: Number of times that the operation ran or may have run.
    """

    account: str
    taken: shares.Taken
    taken_at_s: float
    runs: int = 0


class QuotaGate:
    """Counts operations of accounts in this instance.

    Attributes:
      allowances: What this instance may use of the accounts' quotas.
      limits: The limits of the accounts that have any.
      on_urgent: Called when a heartbeat should ask the coordinator for room at once.
    """

    __slots__ = (
        "_clock",
        "_extra_burst",
        "_logged",
        "_metrics",
        "allowances",
        "limits",
        "on_urgent",
    )

    def __init__(
        self, clock: interfaces.Clock, metrics: counters.Counters, slack: float = 0.0
    ) -> None:
        """Create a gate without limits.

        Args:
          clock: Returns the current time in seconds.
          metrics: Receives the counts of operations.
          slack: Operations by which an account may exceed its limit in a window.
        """
        # Holders may run a few operations more than their fractions allow.
        self._extra_burst = max(0.0, slack - shares.MAX_HOLDERS * shares.HOLDER_EXTRA)
        self.allowances = allowances.Allowances()
        self.limits: dict[str, shares.Limit] = {}
        self.on_urgent: collections.abc.Callable[[], None] = lambda: None
        self._clock = clock
        self._metrics = metrics
        # When the last refusal of each account was logged, and how many there were since.
        self._logged: dict[str, tuple[float, int]] = {}

    def configure(self, declared: accounts.Accounts | None) -> None:
        """Set the accounts in force; None for none."""
        self.limits = {
            account.name: shares.Limit(account.rate_per_s, account.burst + self._extra_burst)
            for account in (() if declared is None else declared.by_name.values())
            if account.rate_per_s is not None
        }
        self.allowances.configure(self.limits, self._clock())

    async def begin(self, account: str, deadline_s: float) -> Charge | shares.Refused:
        """Count an operation; wait if the coordinator may have room for it.

        Args:
          account: Name of the account; empty for none, which is never refused.
          deadline_s: Until when the operation may wait for a coordinator that does not answer.
        """
        verdict = self._take(account, repeated=False)
        while not isinstance(verdict, shares.Taken):
            if isinstance(verdict, shares.Wait):
                wait_s = verdict.wait_s
            elif verdict.saturated or self._clock() + COORDINATOR_RETRY_S >= deadline_s:
                break
            else:
                wait_s = COORDINATOR_RETRY_S
            await asyncio.sleep(wait_s)
            verdict = self._take(account, repeated=True)
        if not isinstance(verdict, shares.Taken):
            refused = shares.Refused(COORDINATOR_RETRY_S)
            if isinstance(verdict, shares.Refused):
                refused = verdict
            self._record_refusal(account, refused)
            return refused
        return Charge(account, verdict, self._clock())

    def renew(self, charge: Charge) -> bool:
        """Count an operation that is about to be sent again if its count is too old.

        Returns:
          Whether the operation may be sent.
        """
        now_s = self._clock()
        if charge.runs > 0 or now_s - charge.taken_at_s <= COUNT_VALID_S:
            return True
        self.allowances.give_back(charge.taken, now_s)
        verdict = self._take(charge.account, repeated=True)
        if not isinstance(verdict, shares.Taken):
            # Nothing is left to be returned.
            charge.taken = shares.Taken(charge.account, None)
            return False
        charge.taken, charge.taken_at_s = verdict, now_s
        return True

    def take_copy(self, charge: Charge) -> bool:
        """Count another run of an operation; return whether there is room for it."""
        return isinstance(self._take(charge.account, repeated=True), shares.Taken)

    def end(self, charge: Charge) -> None:
        """Return the count of an operation that did not run."""
        if charge.runs > 0:
            self._metrics.quota_operations.inc({"result": "run"})
            return
        self._metrics.quota_operations.inc({"result": "not_run"})
        self.allowances.give_back(charge.taken, self._clock())

    def _take(self, account: str, *, repeated: bool) -> shares.Verdict:
        verdict = self.allowances.take(account, self._clock(), repeated=repeated)
        if self.allowances.urgent:
            self.on_urgent()
        return verdict

    def _record_refusal(self, account: str, refused: shares.Refused) -> None:
        self._metrics.quota_operations.inc({"result": "refused"})
        now_s = self._clock()
        logged_at_s, count = self._logged.get(account, (float("-inf"), 0))
        if now_s - logged_at_s < REFUSAL_LOG_INTERVAL_S:
            self._logged[account] = (logged_at_s, count + 1)
            return
        self._logged[account] = (now_s, 0)
        _LOG.info(
            "operations over the account's quota refused",
            account=account,
            count=count + 1,
            retry_after_ms=round(refused.retry_after_s * 1000),
            fraction=round(self.allowances.fractions(now_s).get(account, 0.0), 3),
        )
