"""Calls to the platform's store and to the platform itself."""

import collections.abc
import typing
import urllib.parse

import loguru
import msgspec

from bilberrystack.platform import objects
from bilberrystack.pooling import counters
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="platform")

# The store answers in milliseconds; a slow one takes up to a few hundred.
CALL_TIMEOUT_S = 1.0

# Beyond a watch's own wait.
WATCH_MARGIN_S = 2.0

# A call for a promotion is answered within 20 ms; after this time its connection is reset.
PROMOTE_TIMEOUT_S = 0.6

# Statuses that mean that nothing was done.
_REFUSED = (429, 503)

Decoded = typing.TypeVar("Decoded")
Decode = collections.abc.Callable[[str, bytes], object]


class Store:
    """The store's calls on objects of any kind."""

    __slots__ = ("_calls", "_counters", "_watches")

    def __init__(self, endpoint: model.Endpoint, counted: counters.Counters) -> None:
        self._calls = http.Client(endpoint)
        self._watches = http.Client(endpoint)
        self._counters = counted

    async def get(self, target: str, timeout_s: float = CALL_TIMEOUT_S) -> http.Response:
        """Reads; raises interfaces.NotDone if the store did not answer properly."""
        calls = self._watches if "watch=" in target else self._calls
        try:
            return await self._call(calls, "GET", target, timeout_s, b"")
        except interfaces.NoAnswer as error:
            raise interfaces.NotDone(str(error)) from error

    async def change(self, method: str, target: str, body: object = None) -> http.Response:
        """Changes an object; raises interfaces.NotDone, NoAnswer or Conflict."""
        content = b"" if body is None else msgspec.json.encode(body)
        response = await self._call(self._calls, method, target, CALL_TIMEOUT_S, content)
        if response.status == 409:
            raise interfaces.Conflict(target)
        return response

    async def _call(
        self, calls: http.Client, method: str, target: str, timeout_s: float, body: bytes
    ) -> http.Response:
        try:
            response = await calls.call(method, target, timeout_s, body)
        except http.NotSent as error:
            self._counters.store_calls.inc({"result": "not_sent"})
            raise interfaces.NotDone(str(error)) from error
        except http.NoResponse as error:
            self._counters.store_calls.inc({"result": "no_response"})
            raise interfaces.NoAnswer(str(error)) from error
        self._counters.store_calls.inc({"result": str(response.status)})
        if response.status in _REFUSED:
            raise interfaces.NotDone(f"status {response.status}")
        if response.status == 410:
            raise interfaces.HistoryGone(target)
        if response.status not in (200, 201, 404, 409):
            raise interfaces.NotDone(f"status {response.status}")
        return response

    def close(self) -> None:
        """Closes idle connections."""
        self._calls.close()
        self._watches.close()


class Objects:
    """One kind of objects, decoded. Implements interfaces.Kind."""

    __slots__ = ("_decode", "_malformed", "_store", "name")

    def __init__(self, store: Store, name: str, decode: Decode) -> None:
        self.name = name
        self._store = store
        self._decode = decode
        self._malformed: dict[str, int] = {}

    async def list(self, allow_stale: bool = False) -> interfaces.Snapshot:
        """Returns all objects.

        Args:
          allow_stale: Whether the answer may be seconds old, at a tenth of the price.
        Raises:
          interfaces.StoreFailure: The store did not answer properly.
        """
        suffix = "stale_ok=1" if allow_stale else ""
        found: dict[str, object] = {}
        revision: int | None = None
        target = f"/objects/{self.name}" + (f"?{suffix}" if suffix else "")
        while True:
            response = await self._store.get(target)
            page = _decoded(response, objects.Listing)
            # A watch continues from the first page, so that changes between pages are seen.
            revision = page.current_rev if revision is None else revision
            last = ""
            for raw in page.items:
                name, item = self._item(raw)
                last = name or last
                if name and item is not None:
                    found[name] = item
            if not page.more or not last:
                return interfaces.Snapshot(found, revision)
            after = f"after={urllib.parse.quote(last, safe='')}"
            target = f"/objects/{self.name}?{after}" + (f"&{suffix}" if suffix else "")

    async def watch(self, revision: int, wait_s: float) -> interfaces.Changes:
        """Returns the changes since a revision; raises interfaces.StoreFailure."""
        target = f"/objects/{self.name}?watch={revision}&wait_ms={round(wait_s * 1000)}"
        response = await self._store.get(target, wait_s + WATCH_MARGIN_S)
        page = _decoded(response, objects.Events)
        items: dict[str, object | None] = {}
        for event in page.events:
            name, item = self._item(event.object)
            if name:
                items[name] = None if event.deleted else item
        return interfaces.Changes(items, page.current_rev)

    def _item(self, raw: msgspec.Raw) -> tuple[str, object | None]:
        """Returns an object's name and content; no content if it names nothing usable."""
        try:
            found = msgspec.json.decode(raw, type=objects.Object)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            _LOG.warning("object without a name", kind=self.name, error=str(error))
            return "", None
        name = found.meta.name
        try:
            return name, self._decode(name, bytes(found.spec))
        except (msgspec.MsgspecError, ValueError) as error:
            if self._malformed.get(name) != found.meta.rev:
                self._malformed[name] = found.meta.rev
                _LOG.warning(
                    "malformed object left out",
                    kind=self.name,
                    name=name,
                    revision=found.meta.rev,
                    error=str(error),
                )
            return name, None


class Client:
    """Implements interfaces.Platform."""

    __slots__ = (
        "_calls",
        "_count",
        "_counters",
        "_store",
        "configurations",
        "instances",
        "members",
    )

    def __init__(
        self, store: model.Endpoint, calls: model.Endpoint, counted: counters.Counters
    ) -> None:
        self._store = Store(store, counted)
        self._calls = http.Client(calls)
        self._counters = counted
        self._count = 0
        self.configurations = Objects(
            self._store, objects.CONFIGURATIONS, lambda _, spec: objects.configuration(spec)
        )
        self.members = Objects(self._store, objects.MEMBERS, objects.member)
        self.instances = Objects(self._store, objects.INSTANCES, objects.instance)

    async def register_instance(self, instance: model.Instance) -> None:
        """Writes an instance's entry; raises interfaces.StoreFailure."""
        body = _body(instance.name, objects.encode_instance(instance))
        target = f"/objects/{objects.INSTANCES}"
        try:
            await self._store.change("POST", target, body)
        except interfaces.Conflict:
            # A former process of this instance has left an entry.
            await self._store.change("PUT", f"{target}/{instance.name}", body)

    async def deregister_instance(self, name: str) -> None:
        """Removes an instance's entry; raises interfaces.StoreFailure."""
        await self._store.change("DELETE", f"/objects/{objects.INSTANCES}/{name}")

    async def read_coordinator_lease(self) -> interfaces.LeaseRecord | None:
        """Returns the promotion duty; None if nobody ever held it."""
        response = await self._store.get(f"/objects/{objects.DUTIES}/{objects.PROMOTION}")
        if response.status == 404:
            return None
        return objects.duty(_decoded(response, objects.Object))

    async def acquire_coordinator_lease(
        self, holder: model.Instance, seen: interfaces.LeaseRecord | None
    ) -> interfaces.LeaseRecord:
        """Takes the duty if it is still as seen; raises interfaces.StoreFailure.

        The token is above that of all former holders: each holder takes it from the revision of
        the object that it replaces.
        """
        if seen is None:
            body = _body(objects.PROMOTION, objects.encode_duty(holder, 1, 0))
            response = await self._store.change("POST", f"/objects/{objects.DUTIES}", body)
        else:
            token = max(seen.revision, seen.token + 1)
            response = await self._put_duty(holder, token, seen.revision)
        return objects.duty(_decoded(response, objects.Object))

    async def renew_coordinator_lease(self, held: interfaces.LeaseRecord) -> interfaces.LeaseRecord:
        """Renews the duty; raises interfaces.StoreFailure, Conflict if it has changed."""
        response = await self._put_duty(held.coordinator, held.token, held.revision)
        return objects.duty(_decoded(response, objects.Object))

    async def release_coordinator_lease(self, held: interfaces.LeaseRecord) -> None:
        """Gives the duty up; raises interfaces.StoreFailure."""
        await self._put_duty(None, held.token, held.revision)

    async def _put_duty(
        self, holder: model.Instance | None, token: int, revision: int
    ) -> http.Response:
        self._count += 1
        body = _body(objects.PROMOTION, objects.encode_duty(holder, token, self._count), revision)
        target = f"/objects/{objects.DUTIES}/{objects.PROMOTION}"
        return await self._store.change("PUT", target, body)

    async def promote(
        self, service: str, member: str, holder: str, token: int, *, may_send: http.MaySend
    ) -> bool:
        """Calls for a promotion.

        Args:
          service: The database group.
          member: Who is to lead it.
          holder: The instance that holds the duty.
          token: The holder's token.
          may_send: Asked right before the call is sent.
        Returns:
          Whether it takes effect; False if the platform refused this member.
        Raises:
          interfaces.NotDone, interfaces.NoAnswer.
        """
        body = msgspec.json.encode({"service": service, "id": member})
        headers = {"Duty-Holder": holder, "Fencing-Token": str(token)}
        try:
            response = await self._calls.call(
                "POST", "/promote", PROMOTE_TIMEOUT_S, body, headers=headers, may_send=may_send
            )
        except http.NotSent as error:
            raise interfaces.NotDone(str(error)) from error
        except http.NoResponse as error:
            raise interfaces.NoAnswer(str(error)) from error
        if response.status in (200, 409):
            return response.status == 200
        if response.status in _REFUSED:
            raise interfaces.NotDone(f"status {response.status}")
        raise interfaces.NoAnswer(f"status {response.status}")

    def close(self) -> None:
        """Closes idle connections."""
        self._store.close()
        self._calls.close()


def _body(name: str, spec: msgspec.Struct, revision: int | None = None) -> dict[str, object]:
    meta: dict[str, object] = {"name": name}
    if revision is not None:
        meta["rev"] = revision
    return {"meta": meta, "spec": spec}


def _decoded(response: http.Response, kind: type[Decoded]) -> Decoded:
    """Decodes a body of the store; raises interfaces.NotDone if it is malformed."""
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise interfaces.NotDone(f"malformed body: {error}") from error
