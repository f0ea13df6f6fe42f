"""Fault switches of a stand-in member, and the HTTP endpoint that sets them.

GET /faults returns all switches as a JSON object; POST /faults sets those that its JSON object
names and returns all.
"""

import collections.abc
import dataclasses
import typing

import msgspec
from aiohttp import web

from bilberrystack_standins import waiting


@dataclasses.dataclass(slots=True)
class Faults:
    """The fault switches and lags of one member.

    Attributes:
      isolated_from_proxies: Whether calls of proxies are neither taken nor answered. Connections
        stay open, and what arrived runs when the isolation ends, as after a network partition.
      isolated_from_members: The same for replication, in both directions.
      leaving: Whether the member reports that its endpoint is leaving.
      receive_lag_ms: Time by which entries reach this replica late.
      apply_lag_ms: Time for which this replica holds back received entries from reads.
      service_time_ms: Time for which a statement occupies its slot.
      connection_cost_ms: Time that opening a data connection takes.
      lose_answers: For how many of the next writes, commits and resolutions the connection is
        closed after they ran, instead of the answer.
    """

    isolated_from_proxies: bool = False
    isolated_from_members: bool = False
    leaving: bool = False
    receive_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0
    service_time_ms: float = 0.0
    connection_cost_ms: float = 12.0
    lose_answers: int = 0


class FaultSwitches:
    """The current faults; notifies those who wait when they change."""

    __slots__ = ("_on_change", "changes", "current")

    def __init__(self, initial: Faults, on_change: collections.abc.Callable[[], None]) -> None:
        self.current = initial
        self.changes = waiting.Changes()
        self._on_change = on_change

    def set(self, **switches: typing.Any) -> None:
        """Sets some switches. Raises msgspec.ValidationError."""
        current = dataclasses.asdict(self.current)
        unknown = switches.keys() - current.keys()
        if unknown:
            raise msgspec.ValidationError(f"unknown switches: {sorted(unknown)}")
        self.current = msgspec.convert(current | switches, Faults)
        self._on_change()
        self.changes.notify()

    async def proxies_reachable(self) -> None:
        """Waits while the member is isolated from proxies."""
        await self.changes.wait_for(lambda: not self.current.isolated_from_proxies)

    async def members_reachable(self) -> None:
        """Waits while the member is isolated from other members."""
        await self.changes.wait_for(lambda: not self.current.isolated_from_members)

    def take_lost_answer(self) -> bool:
        """Tells whether the answer at hand is to be lost, and counts it."""
        if self.current.lose_answers == 0:
            return False
        self.current.lose_answers -= 1
        return True


def application(switches: FaultSwitches) -> web.Application:
    """Returns the HTTP endpoint that sets the switches."""

    async def show(_request: web.Request) -> web.Response:
        return _json(switches.current)

    async def change(request: web.Request) -> web.Response:
        try:
            wanted = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            switches.set(**wanted)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return _json(switches.current)

    app = web.Application()
    app.add_routes([web.get("/faults", show), web.post("/faults", change)])
    return app


def _json(faults: Faults) -> web.Response:
    return web.Response(body=msgspec.json.encode(faults), content_type="application/json")
