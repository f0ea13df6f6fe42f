"""The stand-in store as an HTTP server, with its control endpoints.

It serves the object API that bilberrystack.proxy.store_http uses, and these control endpoints,
which the fault switches do not affect:

* GET and POST /control/faults: the fault switches, as a JSON object.
* POST /control/instances with an InstanceList: sets the platform's list of instances, which becomes
  visible after a lag.
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

# Base64 makes the largest value a third longer.
_MAX_BODY_BYTES = 2 * store_state.MAX_VALUE_BYTES

_Message = TypeVar("_Message")


@dataclasses.dataclass(slots=True)
class Faults:
    """The store's fault switches.

    Attributes:
      off: Whether every call, including watches in progress, fails with status 503.
      delay_ms: Delay of every answer, in milliseconds.
      lose_answers: Number of the next changes after whose execution the connection is closed
        instead of sending the answer.
    """

    off: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class InstanceList(msgspec.Struct, forbid_unknown_fields=True):
    """A new list of instances.

    Attributes:
      instances: The instances.
      lag_ms: Time after which the list becomes visible, in milliseconds.
    """

    instances: list[store_state.Instance]
    lag_ms: float = 0.0


class StoreServer:
    """Request handlers of the stand-in store.

    Attributes:
      state: The store's state.
      faults: The current fault switches.
    """

    __slots__ = ("_changes", "faults", "state")

    def __init__(self, state: store_state.StoreState) -> None:
        self.state = state
        self.faults = Faults()
        self._changes = waiting.ChangeNotifier()

    def application(self) -> web.Application:
        """Returns the HTTP application that serves the handlers."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/object", self._with_faults("get", self._get)),
                web.post("/object", self._with_faults("put", self._put)),
                web.get("/watch", self._with_faults("watch", self._watch)),
                web.get("/keys", self._with_faults("keys", self._keys)),
                web.get("/control/faults", self._show_faults),
                web.post("/control/faults", self._set_faults),
                web.post("/control/instances", self._set_instances),
                web.get("/control/calls", self._show_call_counts),
            ]
        )
        return app

    def set_faults(self, **switches: Any) -> None:
        """Sets switches by name. Raises msgspec.ValidationError."""
        current = dataclasses.asdict(self.faults)
        unknown = switches.keys() - current.keys()
        if unknown:
            raise msgspec.ValidationError(f"unknown switches: {sorted(unknown)}")
        self.faults = msgspec.convert(current | switches, Faults)
        self._changes.notify()

    def set_instances(self, instance_list: InstanceList) -> None:
        """Sets the platform's list of instances."""
        loop = asyncio.get_running_loop()
        visible_at = loop.time() + instance_list.lag_ms / 1000
        self.state.set_instances(instance_list.instances, visible_at)
        self._advance()

    def _advance(self) -> None:
        loop = asyncio.get_running_loop()
        self.state.advance(loop.time())
        self._changes.notify()
        next_change_at = self.state.next_change_at
        if next_change_at is not None:
            loop.call_at(next_change_at, self._advance)

    def _with_faults(
        self,
        kind: str,
        handler: collections.abc.Callable[[web.Request], collections.abc.Awaitable[web.Response]],
    ) -> collections.abc.Callable[[web.Request], collections.abc.Awaitable[web.Response]]:
        """Returns a handler that counts the calls of a kind and applies the fault switches."""

        async def handle(request: web.Request) -> web.Response:
            self.state.call_counts[kind] += 1
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
        return _object_response(stored)

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
        return _json_response(store_messages.UpdateResult(version))

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
        return _object_response(stored)

    async def _keys(self, request: web.Request) -> web.Response:
        return _json_response(store_messages.Keys(self.state.keys(request.query["prefix"])))

    async def _show_faults(self, _request: web.Request) -> web.Response:
        return _json_response(self.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        switches = _decode(await request.read(), dict[str, Any])
        try:
            self.set_faults(**switches)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return _json_response(self.faults)

    async def _set_instances(self, request: web.Request) -> web.Response:
        self.set_instances(_decode(await request.read(), InstanceList))
        return web.Response(status=204)

    async def _show_call_counts(self, _request: web.Request) -> web.Response:
        return _json_response(dict(self.state.call_counts))


def _decode(body: bytes, message: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(body, type=message)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _object_response(stored: interfaces.StoredObject) -> web.Response:
    return _json_response(store_messages.Object(stored.key, stored.value, stored.version))


def _json_response(value: Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
