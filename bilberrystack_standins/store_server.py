"""The stand-in store as an HTTP server, with its control endpoints.

Besides the object API of bilberrystack.proxy.store_http it serves, never failing:

* GET and POST /control/faults: the fault switches, as a JSON object.
* POST /control/instances with an InstanceList: sets the platform's lagging list.
* GET /control/calls: the number of calls by kind.
"""

import asyncio
import collections.abc
import dataclasses
from typing import Any
from typing import TypeVar

import msgspec
from aiohttp import web

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import store_messages
from bilberrystack_standins import store_state
from bilberrystack_standins import waiting

# Base64 adds a third to the largest value.
_MAX_BODY_BYTES = 2 * store_state.MAX_VALUE_BYTES

_Message = TypeVar("_Message")


@dataclasses.dataclass(slots=True)
class Faults:
    """The store's fault switches.

    Attributes:
      off: Whether every call, and every waiting watch, fails with status 503.
      delay_ms: Time by which every answer is late.
      lose_answers: For how many of the next changes the connection is closed after they took
        effect, instead of the answer.
    """

    off: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class InstanceList(msgspec.Struct, forbid_unknown_fields=True):
    """A new list of instances.

    Attributes:
      instances: The instances.
      lag_ms: Time after which the list gets visible.
    """

    instances: list[store_state.Instance]
    lag_ms: float = 0.0


class StoreServer:
    """Handlers of the stand-in store; `application` serves them.

    Attributes:
      state: The store's state.
      faults: The current fault switches.
    """

    __slots__ = ("_changes", "faults", "state")

    def __init__(self, state: store_state.StoreState) -> None:
        self.state = state
        self.faults = Faults()
        self._changes = waiting.Changes()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/object", self._call("get", self._get)),
                web.post("/object", self._call("put", self._put)),
                web.get("/watch", self._call("watch", self._watch)),
                web.get("/keys", self._call("keys", self._keys)),
                web.get("/control/faults", self._show_faults),
                web.post("/control/faults", self._set_faults),
                web.post("/control/instances", self._set_instances),
                web.get("/control/calls", self._show_calls),
            ]
        )
        return app

    def set_faults(self, **switches: Any) -> None:
        """Sets some switches. Raises msgspec.ValidationError."""
        current = dataclasses.asdict(self.faults)
        unknown = switches.keys() - current.keys()
        if unknown:
            raise msgspec.ValidationError(f"unknown switches: {sorted(unknown)}")
        self.faults = msgspec.convert(current | switches, Faults)
        self._changes.notify()

    def set_instances(self, wanted: InstanceList) -> None:
        """Sets the platform's list of instances."""
        loop = asyncio.get_running_loop()
        visible_at = loop.time() + wanted.lag_ms / 1000
        self.state.set_instances(wanted.instances, visible_at)
        self._advance()

    def _advance(self) -> None:
        loop = asyncio.get_running_loop()
        self.state.advance(loop.time())
        self._changes.notify()
        next_change_at = self.state.next_change_at
        if next_change_at is not None:
            loop.call_at(next_change_at, self._advance)

    def _call(
        self,
        kind: str,
        handler: collections.abc.Callable[[web.Request], collections.abc.Awaitable[web.Response]],
    ) -> collections.abc.Callable[[web.Request], collections.abc.Awaitable[web.Response]]:
        """Counts the calls of a kind and applies the faults to them."""

        async def handle(request: web.Request) -> web.Response:
            self.state.calls[kind] += 1
            self._fail_if_off()
            answer = await handler(request)
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            return answer

        return handle

    def _fail_if_off(self) -> None:
        if self.faults.off:
            raise web.HTTPServiceUnavailable(text="the store is off")

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.state.get(request.query["key"])
        if stored is None:
            raise web.HTTPNotFound()
        return _object(stored)

    async def _put(self, request: web.Request) -> web.Response:
        change = _decode(await request.read(), store_messages.Update)
        try:
            version = self.state.put(request.query["key"], change.value, change.expected_version)
        except interfaces.VersionConflict as conflict:
            raise web.HTTPConflict(text=str(conflict)) from conflict
        except store_state.ValueTooLarge as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._changes.notify()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return _json(store_messages.UpdateResult(version))

    async def _watch(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        after_version = int(request.query["after_version"])
        wait_s = int(request.query["wait_ms"]) / 1000
        await self._changes.wait_for(
            lambda: self.faults.off or self.state.version(key) > after_version, wait_s
        )
        self._fail_if_off()
        stored = self.state.get(key)
        if stored is None or stored.version <= after_version:
            return web.Response(status=204)
        return _object(stored)

    async def _keys(self, request: web.Request) -> web.Response:
        return _json(store_messages.Keys(self.state.keys(request.query["prefix"])))

    async def _show_faults(self, _request: web.Request) -> web.Response:
        return _json(self.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        switches = _decode(await request.read(), dict[str, Any])
        try:
            self.set_faults(**switches)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return _json(self.faults)

    async def _set_instances(self, request: web.Request) -> web.Response:
        self.set_instances(_decode(await request.read(), InstanceList))
        return web.Response(status=204)

    async def _show_calls(self, _request: web.Request) -> web.Response:
        return _json(dict(self.state.calls))


def _decode(body: bytes, message: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(body, type=message)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _object(stored: interfaces.StoredObject) -> web.Response:
    return _json(store_messages.Object(stored.key, stored.value, stored.version))


def _json(value: Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
