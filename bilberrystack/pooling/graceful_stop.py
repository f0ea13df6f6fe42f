"""Ends the work of an instance within its grace time, planned backwards from its end.

Each phase leaves the next one enough time, so that every request that was read gets a complete
answer before the process ends. Sessions without work are closed in all phases.
"""

import asyncio
import collections.abc
import enum

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import owner_server
from bilberrystack.pooling import session

_LOG = loguru.logger.bind(component="instance")

# The process ends this long before its grace time does.
EXIT_MARGIN_S = 0.7

# Time before the end at which requests that still run are answered, so that the answers arrive.
FINAL_ANSWERS_S = 0.25

# Time before the end from which no work is begun. Statements that wait for a busy member and run
# there take less; a client that is refused can still use another instance.
WORK_RESERVE_S = 1.5

# Fraction of the grace time within which transactions may end by themselves.
TRANSACTION_GRACE_FRACTION = 0.5

# The platform probes each second, and takes an instance out of rotation after two failed probes.
ROTATION_REMOVAL_S = 2.5

# Interval between checks for sessions that can be closed.
CHECK_INTERVAL_S = 0.02


class Phase(enum.Enum):
    """Phase of a graceful stop."""

    SERVING = "serving"
    REFUSING = "refusing"
    ANSWERING = "answering"
    OVER = "over"


def phase(elapsed_s: float, grace_s: float) -> Phase:
    """Return the phase of a graceful stop.

    Args:
      elapsed_s: Time since the stop was requested.
      grace_s: Time after which the process is killed.
    """
    end_s = grace_s - EXIT_MARGIN_S
    if elapsed_s >= end_s:
        return Phase.OVER
    if elapsed_s >= end_s - FINAL_ANSWERS_S:
        return Phase.ANSWERING
    refuse_s = max(grace_s * TRANSACTION_GRACE_FRACTION, end_s - WORK_RESERVE_S)
    return Phase.REFUSING if elapsed_s >= refuse_s else Phase.SERVING


class GracefulStop:
    """Ends the sessions and the forwarded work of an instance.

    Attributes:
      phase: The current phase; None before the stop.
    """

    __slots__ = ("_clock", "_owner_server", "_sessions", "phase")

    def __init__(
        self,
        sessions: collections.abc.Collection[session.Session],
        server: owner_server.OwnerServer,
        clock: interfaces.Clock,
    ) -> None:
        """Create a stop that was not requested yet.

        Args:
          sessions: The open sessions, which change while the stop runs.
          server: Runs the statements that other instances forward.
          clock: Returns the current time in seconds.
        """
        self.phase: Phase | None = None
        self._sessions = sessions
        self._owner_server = server
        self._clock = clock

    @property
    def refuses_work(self) -> bool:
        """Whether nothing new is begun any more, in sessions and in their transactions."""
        return self.phase not in (None, Phase.SERVING)

    async def run(self, grace_s: float) -> None:
        """End all work; return once there is none, or at the end of the grace time.

        Args:
          grace_s: Time after which the process is killed.
        """
        started_at_s = self._clock()
        while self.phase is not Phase.OVER:
            elapsed_s = self._clock() - started_at_s
            self._enter(phase(elapsed_s, grace_s))
            self._end_sessions()
            if not self._has_pending_work() and elapsed_s >= ROTATION_REMOVAL_S:
                # Until the listeners are closed, a session or a statement may still arrive.
                self._enter(Phase.REFUSING)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _enter(self, current: Phase) -> None:
        if current is self.phase:
            return
        self.phase = current
        self._owner_server.refusing = self.refuses_work
        _LOG.info(
            "stop entered another phase",
            phase=current.value,
            sessions=len(self._sessions),
            forwarded=self._owner_server.running_requests,
            transactions=self._owner_server.open_transactions,
        )

    def _end_sessions(self) -> None:
        for client_session in list(self._sessions):
            if client_session.quiescent:
                if not client_session.expects_operation or self.refuses_work:
                    client_session.close_when_idle()
            elif self.phase in (Phase.ANSWERING, Phase.OVER):
                client_session.end_request()
            elif self.refuses_work:
                client_session.abandon_transaction()

    def _has_pending_work(self) -> bool:
        """Return whether work of this instance's clients or of other instances is unfinished."""
        awaited_transactions = 0 if self.refuses_work else self._owner_server.open_transactions
        return bool(self._sessions or self._owner_server.running_requests or awaited_transactions)
