"""Fault switches of a stand-in member, and the HTTP endpoint that sets them.

GET /faults returns all switches as a JSON object. POST /faults sets the switches in its JSON object
and returns all switches.
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
      isolated_from_proxies: Whether calls of proxies are neither executed nor answered.
        Connections stay open, and calls that arrived are executed when the isolation ends, as after
        a network partition.
      isolated_from_members: Whether pulls are neither sent, executed nor answered, in both
        directions. Connections stay open, and the pulls continue when the isolation ends.
      leaving: Whether the member reports that its endpoint is leaving.
      receive_lag_ms: Delay of entries on their way to this replica, in milliseconds.
      apply_lag_ms: Time between the receipt of an entry by this replica and its application, in
        milliseconds.
      service_time_ms: Time for which a statement occupies a slot, in milliseconds.
      connection_cost_ms: Time needed to open a data connection, in milliseconds.
      lose_answers: Number of the next writes, commits and resolutions after whose execution the
        connection is closed instead of sending the answer.
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
    """The current fault switches; wakes waiting tasks when they change.

    Attributes:
      current: The current values.
      changes: Notified after each change of a value.
    """

    __slots__ = ("_on_change", "changes", "current")

    def __init__(self, initial: Faults, on_change: collections.abc.Callable[[], None]) -> None:
        """Creates the switches.

        Args:
          initial: The initial values.
          on_change: Called after each change, before waiting tasks are woken.
        """
        self.current = initial
        self.changes = waiting.ChangeNotifier()
        self._on_change = on_change

    def set(self, **switches: typing.Any) -> None:
        """Sets switches by name. Raises msgspec.ValidationError."""
        current = dataclasses.asdict(self.current)
        unknown = switches.keys() - current.keys()
        if unknown:
            raise msgspec.ValidationError(f"unknown switches: {sorted(unknown)}")
        self.current = msgspec.convert(current | switches, Faults)
        self._on_change()
        self.changes.notify()

    async def wait_until_proxies_reachable(self) -> None:
        """Waits while the member is isolated from proxies."""
        await self.changes.wait_for(lambda: not self.current.isolated_from_proxies)

    async def wait_until_members_reachable(self) -> None:
        """Waits while the member is isolated from other members."""
        await self.changes.wait_for(lambda: not self.current.isolated_from_members)

    def consume_lost_answer(self) -> bool:
        """Returns whether to lose the current answer; if so, decrements `lose_answers`."""
        if self.current.lose_answers == 0:
            return False
        self.current.lose_answers -= 1
        return True


def application(switches: FaultSwitches) -> web.Application:
    """Returns the HTTP application that shows and sets the switches."""

    async def show(_request: web.Request) -> web.Response:
        return _json_response(switches.current)

    async def change(request: web.Request) -> web.Response:
        try:
            new_values = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            switches.set(**new_values)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return _json_response(switches.current)

    app = web.Application()
    app.add_routes([web.get("/faults", show), web.post("/faults", change)])
    return app


def _json_response(faults: Faults) -> web.Response:
    return web.Response(body=msgspec.json.encode(faults), content_type="application/json")
