"""Client for the platform's store and for the platform's own API."""

import collections.abc
import contextlib
import urllib.parse

import loguru
import msgspec

from bilberrystack.platform import objects
from bilberrystack.platform import store_results
from bilberrystack.pooling import counters
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import turns
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="platform")

# The store normally answers within milliseconds, and within a few hundred when it is slow.
STORE_CALL_TIMEOUT_S = 1.0

# Time that a watch gets in addition to the wait that it asks the store for.
WATCH_TIMEOUT_MARGIN_S = 2.0

# The platform answers a promotion request within 20 ms; after this time the connection is reset.
PROMOTE_TIMEOUT_S = 0.6

# Header of each response of the store. Its number rises by one each time that the store returns
# from an older copy, in which revisions are lower than before.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 18

# HTTP status codes which mean that the call was not executed.
_NOT_EXECUTED_STATUSES = (429, 503)

# Decodes the content of an object, given the object's name and the content as JSON.
SpecDecoder = collections.abc.Callable[[str, bytes], object]


class StoreClient:
    """Client for the store's HTTP calls on objects of any kind.

    Watches use connections of their own.
    """

    __slots__ = ("_era", "_http", "_metrics", "_watch_http")

    def __init__(self, endpoint: model.Endpoint, metrics: counters.Counters) -> None:
        self._http = http.Client(endpoint)
        self._watch_http = http.Client(endpoint)
        self._metrics = metrics
        self._era: int | None = None

    @property
    def era(self) -> int:
        """The newest era of the store that a response has shown; 0 before the first response."""
        return self._era or 0

    def era_of(self, response: http.Response) -> int:
        """Return the era of the store that a response comes from.

        A response without a valid era counts as one of the newest known era.
        """
        text = response.headers.get(ERA_HEADER, "")
        valid = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
        return int(text) if valid else self.era

    async def get(self, target: str, timeout_s: float = STORE_CALL_TIMEOUT_S) -> http.Response:
        """Read an object, a list of objects or the result of a watch.

        Args:
          target: The path and query.
          timeout_s: Maximum wait for the response, in seconds.
        Returns:
          The response, with status 200, 201, 404 or 409.
        Raises:
          interfaces.NotDone: The store did not answer, or not with a valid response.
          interfaces.HistoryGone: The revision to watch from is no longer in the store's history.
        """
        http_client = self._watch_http if "watch=" in target else self._http
        try:
            return await self._call(http_client, "GET", target, timeout_s, b"")
        except interfaces.NoAnswer as error:
            raise interfaces.NotDone(str(error)) from error

    async def change(self, method: str, target: str, body: object = None) -> http.Response:
        """Create, replace or delete an object.

        Args:
          method: The HTTP method.
          target: The path.
          body: The content of the request, which is encoded as JSON; None for none.
        Raises:
          interfaces.NotDone: The object was not changed, or there is none to replace.
          interfaces.NoAnswer: The outcome is unknown.
          interfaces.Conflict: The object exists already, or has changed since it was read.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        response = await self._call(self._http, method, target, STORE_CALL_TIMEOUT_S, content)
        if response.status == 409:
            raise interfaces.Conflict(target)
        if response.status == 404 and method != "DELETE":
            raise interfaces.NotDone("status 404")
        return response

    async def _call(
        self, http_client: http.Client, method: str, target: str, timeout_s: float, body: bytes
    ) -> http.Response:
        try:
            response = await http_client.call(method, target, timeout_s, body)
        except http.NotSent as error:
            self._metrics.store_calls.inc({"result": "not_sent"})
            raise interfaces.NotDone(str(error)) from error
        except http.NoResponse as error:
            self._metrics.store_calls.inc({"result": "no_response"})
            raise interfaces.NoAnswer(str(error)) from error
        self._metrics.store_calls.inc({"result": str(response.status)})
        self._observe_era(response)
        if response.status in _NOT_EXECUTED_STATUSES:
            raise interfaces.NotDone(f"status {response.status}")
        if response.status == 410 and method == "GET":
            raise interfaces.HistoryGone(target)
        if response.status not in (200, 201, 404, 409):
            # An intermediary may have given up a call that the store has executed.
            raise interfaces.NoAnswer(f"status {response.status}")
        return response

    def _observe_era(self, response: http.Response) -> None:
        era = self.era_of(response)
        if self._era is not None and era > self._era:
            _LOG.warning("store has returned from an older copy", era=era, former=self._era)
        if self._era is None or era > self._era:
            self._era = era
            self._metrics.store_era.set({}, era)


class ObjectKindClient:
    """Client for the store's objects of one kind. Implements interfaces.ObjectKind.

    Attributes:
      name: Name of the kind.
    """

    __slots__ = ("_decode_spec", "_malformed_revisions", "_store", "name")

    def __init__(self, store: StoreClient, name: str, decode_spec: SpecDecoder) -> None:
        self.name = name
        self._store = store
        self._decode_spec = decode_spec
        # Revision of each malformed object that was logged last, so that each is logged once.
        self._malformed_revisions: dict[str, int] = {}

    async def list(self, allow_stale: bool = False) -> interfaces.Snapshot:
        """Return all objects that can be decoded.

        Args:
          allow_stale: Whether the result may be seconds old, which costs a tenth of an up-to-date
            one.
        Raises:
          interfaces.StoreFailure: The store did not answer with a valid response.
        """
        stale_parameter = "stale_ok=1" if allow_stale else ""
        items: dict[str, object] = {}
        revision: interfaces.Revision | None = None
        cursor = ""
        target = f"/objects/{self.name}" + (f"?{stale_parameter}" if stale_parameter else "")
        while True:
            response = await self._store.get(target)
            page = await turns.run(store_results.list_page_steps(response.body))
            page_revision = interfaces.Revision(self._store.era_of(response), page.current_rev)
            if revision is not None and page_revision.era != revision.era:
                raise interfaces.NotDone("the pages of the list are from two eras of the store")
            # A watch continues from the oldest page, so that it returns the changes since then. It
            # is the first one, unless a later one may be stale and is answered with older data.
            revision = page_revision if revision is None else min(revision, page_revision)
            last_name = ""
            for name, item in await turns.run(self._objects_steps(page.items)):
                last_name = name or last_name
                if name and item is not None:
                    items[name] = item
            if not page.more:
                return interfaces.Snapshot(items, revision)
            previous_cursor = cursor
            cursor = urllib.parse.quote(last_name, safe="") or await turns.run(
                store_results.cursor_steps(page.items)
            )
            if not cursor or cursor == previous_cursor:
                # A list that ended here would seem to show that all later objects are gone.
                raise interfaces.NotDone("a page names no object after which the list continues")
            after_parameter = f"after={cursor}"
            target = f"/objects/{self.name}?{after_parameter}" + (
                f"&{stale_parameter}" if stale_parameter else ""
            )

    async def watch(self, revision: interfaces.Revision, wait_s: float) -> interfaces.Changes:
        """Return the changes since a revision, as soon as there are any.

        An object that can no longer be decoded is returned as deleted.

        Args:
          revision: The store's revision to start from.
          wait_s: Maximum wait for a change, in seconds.
        Raises:
          interfaces.HistoryGone: The revision is not in the store's history.
          interfaces.StoreFailure: The store did not answer with a valid response.
        """
        target = f"/objects/{self.name}?watch={revision.number}&wait_ms={round(wait_s * 1000)}"
        response = await self._store.get(target, wait_s + WATCH_TIMEOUT_MARGIN_S)
        era = self._store.era_of(response)
        if era != revision.era:
            # The number belongs to another change in this era, so that changes may be missing.
            raise interfaces.HistoryGone(target)
        watched = await turns.run(store_results.watch_result_steps(response.body))
        changed = await turns.run(self._objects_steps([event.object for event in watched.events]))
        items: dict[str, object | None] = {}
        for event, (name, item) in zip(watched.events, changed, strict=True):
            if name:
                items[name] = None if event.deleted else item
        return interfaces.Changes(items, interfaces.Revision(era, watched.current_rev))

    def _objects_steps(
        self, encoded: collections.abc.Sequence[msgspec.Raw]
    ) -> turns.Steps[collections.abc.Sequence[tuple[str, object | None]]]:
        """Decode objects in steps; see `_object_steps`."""
        budget = turns.Budget()
        decoded = []
        for raw in encoded:
            if budget.spend(len(memoryview(raw)) + store_results.ELEMENT_WORK_BYTES):
                yield
            decoded.append((yield from self._object_steps(raw)))
        return decoded

    def _object_steps(self, raw: msgspec.Raw) -> turns.Steps[tuple[str, object | None]]:
        """Decode an object.

        Returns:
          The object's name, or an empty string if its metadata is malformed, and its content, or
          None if that is malformed.
        """
        try:
            stored = yield from store_results.stored_object_steps(bytes(raw))
        except store_results.DECODING_ERRORS as error:
            _LOG.warning(
                "store object with malformed metadata ignored", kind=self.name, error=str(error)
            )
            return "", None
        name = stored.meta.name
        try:
            return name, self._decode_spec(name, bytes(stored.spec))
        except Exception as error:
            # Another writer's entry can be malformed in ways that nobody foresees. It must not end
            # the reading of the other entries.
            if self._malformed_revisions.get(name) != stored.meta.rev:
                self._malformed_revisions[name] = stored.meta.rev
                _LOG.warning(
                    "malformed store object left out",
                    kind=self.name,
                    name=name,
                    revision=stored.meta.rev,
                    error=str(error),
                )
            return name, None


class Client:
    """Client for the store and the platform's API. Implements interfaces.Platform.

    Attributes:
      configurations: The configuration objects.
      members: The records of members.
      instances: The registrations of instances.
      promotions: The records of promotion requests and of primaries.
    """

    __slots__ = (
        "_lease_write_count",
        "_metrics",
        "_platform_http",
        "_store",
        "configurations",
        "instances",
        "members",
        "promotions",
    )

    def __init__(
        self,
        store_endpoint: model.Endpoint,
        platform_endpoint: model.Endpoint,
        metrics: counters.Counters,
    ) -> None:
        self._store = StoreClient(store_endpoint, metrics)
        self._platform_http = http.Client(platform_endpoint)
        self._metrics = metrics
        self._lease_write_count = 0
        self.configurations = ObjectKindClient(
            self._store,
            objects.CONFIGURATION_KIND,
            objects.decode_named_configuration,
        )
        self.members = ObjectKindClient(self._store, objects.MEMBER_KIND, objects.decode_member)
        self.instances = ObjectKindClient(
            self._store, objects.INSTANCE_KIND, objects.decode_instance
        )
        self.promotions = ObjectKindClient(
            self._store, objects.PROMOTION_KIND, objects.decode_promotion
        )

    async def register_instance(self, instance: model.Instance) -> None:
        """Write an instance's registration, replacing one of an earlier incarnation.

        Raises:
          interfaces.StoreFailure: The registration may not have been written.
        """
        body = _encode_object(instance.name, objects.encode_instance(instance))
        target = f"/objects/{objects.INSTANCE_KIND}"
        try:
            await self._store.change("POST", target, body)
        except interfaces.Conflict:
            # An earlier incarnation of this instance has left its registration.
            await self._store.change(
                "PUT", _object_path(objects.INSTANCE_KIND, instance.name), body
            )

    async def deregister_instance(self, instance: model.Instance) -> None:
        """Delete the registration of an instance's process, if there is one.

        The registration of another process under the same name stays: a machine may have returned
        since the instance was listed, and the store may execute a call seconds late.

        Raises:
          interfaces.StoreFailure: The registration may not have been deleted.
        """
        path = _object_path(objects.INSTANCE_KIND, instance.name)
        response = await self._store.get(path)
        if response.status == 404:
            return
        try:
            stored = msgspec.json.decode(response.body, type=objects.StoredObject)
        except store_results.DECODING_ERRORS as error:
            raise interfaces.NotDone(f"malformed body: {error}") from error
        try:
            registered = objects.decode_instance(instance.name, bytes(stored.spec))
        except store_results.DECODING_ERRORS:
            # It names no process, and nobody uses it.
            pass
        else:
            if registered.incarnation != instance.incarnation:
                return
        with contextlib.suppress(interfaces.Conflict):
            await self._store.change("DELETE", f"{path}?rev={stored.meta.rev}")

    @property
    def store_era(self) -> int:
        """The newest era of the store that a response has shown; 0 before the first response."""
        return self._store.era

    async def read_coordinator_lease(self) -> interfaces.LeaseRecord:
        """Return the coordinator lease.

        A record with malformed content names no coordinator and counts as one from before the
        store's return: it may have replaced the record of a coordinator that still acts.

        Raises:
          interfaces.StoreFailure: The store did not answer with a valid response.
        """
        response = await self._store.get(_object_path(objects.LEASE_KIND, objects.LEASE_NAME))
        era = self._store.era_of(response)
        if response.status == 404:
            return interfaces.LeaseRecord(None, 0, interfaces.Revision(era, 0), era)
        try:
            stored = await turns.run(store_results.stored_object_steps(response.body))
        except store_results.DECODING_ERRORS as error:
            raise interfaces.NotDone(f"malformed body: {error}") from error
        try:
            return objects.decode_lease(stored, era)
        except store_results.DECODING_ERRORS as error:
            _LOG.warning(
                "malformed coordinator lease; it is replaced once it has expired",
                revision=stored.meta.rev,
                error=str(error),
            )
            revision = interfaces.Revision(era, stored.meta.rev)
            return interfaces.LeaseRecord(None, 0, revision, objects.UNKNOWN_ERA)

    async def write_coordinator_lease(
        self,
        replaced: interfaces.LeaseRecord,
        coordinator: model.Instance | None,
        token: int,
        standbys: tuple[str, ...] = (),
    ) -> interfaces.LeaseRecord:
        """Replace the coordinator lease if it is still as it was last read or written.

        Args:
          replaced: The record as last read or written.
          coordinator: The instance that holds the lease from now on; None to release it.
          token: Its fencing token.
          standbys: The incarnations that may acquire the lease soon after its last renewal.
        Returns:
          The record as written.
        Raises:
          interfaces.Conflict: The record has changed since.
          interfaces.NotDone: The record was not written.
          interfaces.NoAnswer: The outcome is unknown, also after a malformed answer.
        """
        self._lease_write_count += 1
        era = replaced.revision.era
        spec = objects.encode_lease(coordinator, token, self._lease_write_count, era, standbys)
        target = f"/objects/{objects.LEASE_KIND}"
        if replaced.exists:
            body = _encode_object(objects.LEASE_NAME, spec, replaced.revision.number)
            path = _object_path(objects.LEASE_KIND, objects.LEASE_NAME)
            response = await self._store.change("PUT", path, body)
        else:
            response = await self._store.change(
                "POST", target, _encode_object(objects.LEASE_NAME, spec)
            )
        try:
            stored = msgspec.json.decode(response.body, type=objects.StoredObject)
            return objects.decode_lease(stored, self._store.era_of(response))
        except store_results.DECODING_ERRORS as error:
            raise interfaces.NoAnswer(f"malformed body: {error}") from error

    async def record_promotion(self, record: interfaces.PromotionRecord) -> None:
        """Store a promotion request that is about to be made.

        Raises:
          interfaces.StoreFailure: The record may not have been written.
        """
        body = _encode_object(record.name, objects.encode_promotion(record))
        await self._store.change("POST", f"/objects/{objects.PROMOTION_KIND}", body)

    async def update_promotion_record(self, record: interfaces.PromotionRecord) -> None:
        """Replace the stored content of a promotion request; raises like `record_promotion`."""
        body = _encode_object(record.name, objects.encode_promotion(record))
        await self._store.change("PUT", _object_path(objects.PROMOTION_KIND, record.name), body)

    async def record_primary(self, record: interfaces.PrimaryRecord) -> None:
        """Store the primary of a term that is about to be granted.

        Raises:
          interfaces.StoreFailure: The record may not have been written.
        """
        body = _encode_object(record.name, objects.encode_primary(record))
        await self._store.change("POST", f"/objects/{objects.PROMOTION_KIND}", body)

    async def remove_promotion_record(self, name: str) -> None:
        """Delete the record of a promotion request or of a primary, if there is one.

        Raises:
          interfaces.StoreFailure: The record may not have been deleted.
        """
        await self._store.change("DELETE", _object_path(objects.PROMOTION_KIND, name))

    async def promote(
        self, service: str, member: str, coordinator: str, token: int, *, may_send: http.MaySend
    ) -> bool:
        """Request the promotion of a member to primary.

        Args:
          service: Name of the database group.
          member: Id of the member.
          coordinator: Name of the instance that holds the coordinator lease.
          token: The coordinator's fencing token.
          may_send: Checked right before the request is sent.
        Returns:
          Whether the promotion takes effect; False if the platform rejected this member.
        Raises:
          interfaces.NotDone: The request had no effect.
          interfaces.NoAnswer: The outcome is unknown.
        """
        body = msgspec.json.encode({"service": service, "id": member})
        headers = {"Duty-Holder": coordinator, "Fencing-Token": str(token)}
        try:
            response = await self._platform_http.call(
                "POST", "/promote", PROMOTE_TIMEOUT_S, body, headers=headers, may_send=may_send
            )
        except http.NotSent as error:
            raise interfaces.NotDone(str(error)) from error
        except http.NoResponse as error:
            raise interfaces.NoAnswer(str(error)) from error
        if response.status in (200, 409):
            return response.status == 200
        if response.status in _NOT_EXECUTED_STATUSES:
            raise interfaces.NotDone(f"status {response.status}")
        raise interfaces.NoAnswer(f"status {response.status}")


def _object_path(kind: str, name: str) -> str:
    """Return the path of an object, whose name may have any characters."""
    return f"/objects/{kind}/{urllib.parse.quote(name, safe='')}"


def _encode_object(
    name: str, spec: msgspec.Struct, revision: int | None = None
) -> dict[str, object]:
    """Return the body of a request that writes an object.

    Args:
      name: Name of the object.
      spec: Content of the object.
      revision: Revision that the object must still have; None to write it whatever it has.
    """
    meta: dict[str, object] = {"name": name}
    if revision is not None:
        meta["rev"] = revision
    return {"meta": meta, "spec": spec}
