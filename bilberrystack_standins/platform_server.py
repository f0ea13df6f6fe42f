"""The platform of the session mode: a store of objects with revisions and watches, and promotions.

Tests can make it refuse calls, delay updates, lose answers, drop its event history and return from
an older copy. Promotion requests can be carried out late, twice, or without an answer.
"""

import asyncio
import collections
import copy
import dataclasses
import enum
import json
import random
from typing import Any

from aiohttp import web

from bilberrystack_standins import line_group

# Maximum number of objects in the answer to a list call.
PAGE_SIZE = 50

# Kinds whose objects the operator and the members write again after the store has lost changes.
REWRITTEN_KINDS = ("config", "servers")


@dataclasses.dataclass(slots=True)
class StoreCall:
    """A call to the store, recorded for the checks of the tests."""

    method: str
    path: str


@dataclasses.dataclass(slots=True)
class PromotionRequest:
    """A promotion request, recorded for the checks of the tests.

    Attributes:
      service: The name of the database group.
      member: The id of the member to promote.
      coordinator: The coordinator that sent it, from the Duty-Holder header.
      fencing_token: The token of its coordinator lease, from the Fencing-Token header.
    """

    service: str
    member: str
    coordinator: str
    fencing_token: int


class PromotionAnswer(enum.Enum):
    """When a promotion request is answered."""

    WHEN_CARRIED_OUT = "when it is carried out for the first time"
    AT_ONCE = "with status 200 before it is carried out"
    NEVER = "never, on an open connection"
    RESET = "never, by a reset of the connection"


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionFault:
    """What happens to a promotion request.

    Attributes:
      carried_out_after_s: Times between the arrival of the request and each time that it is carried
        out, whether or not its caller still waits. A member that does not run then is not promoted.
      answer: When it is answered.
    """

    carried_out_after_s: tuple[float, ...] = (0.0,)
    answer: PromotionAnswer = PromotionAnswer.WHEN_CARRIED_OUT

    def __str__(self) -> str:
        times = " and ".join(f"{time_s:.1f} s" for time_s in self.carried_out_after_s)
        return f"request carried out after {times}, answered {self.answer.value}"


@dataclasses.dataclass(slots=True, eq=False)
class _LatePromotion:
    """A promotion request that is to be carried out once.

    Attributes:
      request: The request.
      accepted: Whether it is accepted; set when it is carried out.
      timer: Carries it out at its time; None if it is carried out at once.
    """

    request: PromotionRequest
    accepted: asyncio.Future[bool]
    timer: asyncio.TimerHandle | None = None


class News(enum.Enum):
    """When the record of a restarted member is written."""

    EARLY = "before it listens"
    LATE = "some time after it listens"
    LOST = "once its role changes"


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """How a member restarts.

    Attributes:
      keeps_log: Whether the new process has the log of the one before.
      pause_s: Time between the end and the start.
      news: When its record is written.
      news_delay_s: Time between the start and a late record.
    """

    keeps_log: bool
    pause_s: float
    news: News = News.EARLY
    news_delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's contents.

    Attributes:
      revision: The revision of the last change in it.
      objects: The objects by kind and name.
    """

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]


class PlatformServer:
    """The store and the platform's promotion calls on one port.

    Attributes:
      groups: The database groups by name.
      revision: The revision of the last change.
      era: Number of times that the store has returned from an older copy, plus one.
      calls: All calls to the store.
      promotion_requests: All promotion requests.
      calls_to_refuse: Number of the next store calls that are refused with status 503.
      responses_to_lose: Number of the next changes after whose execution the connection is closed
        instead of sending the response.
      next_update_delay_s: If not 0, the connection of the next update is closed at once, and the
        update is executed after this time.
      call_delay_s: Time before a store call is executed.
      notification_delays_s: Shortest and longest time between a change and the answer to a watch,
        which has all changes up to then.
      promotions_to_refuse: Number of the next promotion requests that are refused with status 429.
      promotion_faults: What happens to the next promotion requests, in the order of their arrival.
      unpromotable_members: Ids of the members whose promotion requests are rejected.
      sync_replicas: Declared number of replicas that receive a commit before it is acknowledged.
      port: The port that the server listens on; 0 before the first start.
    """

    def __init__(self, groups: dict[str, line_group.LineGroup]) -> None:
        self.groups = groups
        self.revision = 10
        self.era = 1
        self.calls: list[StoreCall] = []
        self.promotion_requests: list[PromotionRequest] = []
        self.calls_to_refuse = 0
        self.responses_to_lose = 0
        self.next_update_delay_s = 0.0
        self.call_delay_s = 0.0
        self.notification_delays_s = (0.0, 0.0)
        self.promotions_to_refuse = 0
        self.promotion_faults: collections.deque[PromotionFault] = collections.deque()
        self.unpromotable_members: set[str] = set()
        self.sync_replicas = 0
        self.port = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = collections.defaultdict(dict)
        self._events: dict[str, list[tuple[int, dict[str, Any], bool]]] = collections.defaultdict(
            list
        )
        self._oldest_watchable_revision: dict[str, int] = collections.defaultdict(int)
        self._changed = asyncio.Condition()
        self._late_promotions: list[_LatePromotion] = []
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """The address that the server listens on."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts listening; after a stop, on the same port as before."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_post("/promote", self._handle_promotion)
        app.router.add_route("*", "/objects/{kind}", self._handle_kind)
        app.router.add_route("*", "/objects/{kind}/{name}", self._handle_object)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening; the objects are kept."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, like an operator or a member."""
        self._store(kind, name, spec)
        await self._notify_watches()

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored_object = self._objects[kind].pop(name)
        self.revision += 1
        self._events[kind].append((self.revision, stored_object, True))
        await self._notify_watches()

    def remove_silently(self, kind: str, name: str) -> None:
        """Removes an object without an event, as if its writer ended during an outage."""
        del self._objects[kind][name]

    def drop_history(self) -> None:
        """Drops the event history, so that watching clients have to list the objects again."""
        for kind in list(self._objects):
            self._events[kind].clear()
            self._oldest_watchable_revision[kind] = self.revision + 1
        self.revision += 1

    def copy(self) -> StoreCopy:
        """Returns a copy of the present contents."""
        return StoreCopy(self.revision, copy.deepcopy(dict(self._objects)))

    async def restore(self, older: StoreCopy) -> None:
        """Returns to an older copy; then the operator and the members write their objects again.

        Revisions go back to that of the copy, and waiting watches end with status 410.
        """
        written = {kind: dict(self._objects[kind]) for kind in REWRITTEN_KINDS}
        self.era += 1
        self.revision = older.revision
        self._objects.clear()
        self._objects.update(copy.deepcopy(older.objects))
        self._events.clear()
        self._oldest_watchable_revision.clear()
        for kind, objects in written.items():
            for name, stored_object in objects.items():
                self._store(kind, name, stored_object["spec"])
        await self._notify_watches()

    async def _add_era(self, _request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.era)

    def get(self, kind: str, name: str) -> Any:
        """Returns an object's spec."""
        return self._objects[kind][name]["spec"]

    def get_revision(self, kind: str, name: str) -> int:
        """Returns the revision of an object's last change."""
        return int(self._objects[kind][name]["meta"]["rev"])

    def object_names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind, sorted."""
        return sorted(self._objects[kind])

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        existing_object = self._objects[kind].get(name)
        if existing_object is not None and existing_object["spec"] == spec:
            return existing_object
        self.revision += 1
        stored_object = {
            "meta": {"name": name, "rev": self.revision, "created": 1, "finalizers": []},
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = stored_object
        self._events[kind].append((self.revision, stored_object, False))
        return stored_object

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _record_call(self, request: web.Request) -> web.Response | None:
        """Records a call to the store; returns the response if the call is to be refused."""
        if self.call_delay_s:
            await asyncio.sleep(self.call_delay_s)
        self.calls.append(StoreCall(request.method, request.path_qs))
        if self.calls_to_refuse > 0:
            self.calls_to_refuse -= 1
            return web.Response(status=503)
        return None

    async def _respond(self, request: web.Request, response: web.Response) -> web.Response:
        """Returns the response to a change, after closing the connection if it is to be lost."""
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _handle_kind(self, request: web.Request) -> web.Response:
        refusal = await self._record_call(request)
        if refusal is not None:
            return refusal
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = json.loads(await request.read())
            name = body["meta"]["name"]
            if name in self._objects[kind]:
                return web.json_response(self._objects[kind][name], status=409)
            stored_object = self._store(kind, name, body["spec"])
            await self._notify_watches()
            return await self._respond(request, web.json_response(stored_object))
        if "watch" in request.query:
            return await self._watch(kind, request)
        after_name = request.query.get("after", "")
        names = [name for name in sorted(self._objects[kind]) if name > after_name]
        page = [self._objects[kind][name] for name in names[:PAGE_SIZE]]
        return web.json_response(
            {"items": page, "more": len(names) > PAGE_SIZE, "current_rev": self.revision}
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after_revision = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        era = self.era
        if not self._is_watchable(kind, after_revision):
            return web.Response(status=410)
        try:
            async with asyncio.timeout(wait_s):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self.era != era or self._events_after(kind, after_revision)
                    )
            if any(self.notification_delays_s):
                await asyncio.sleep(random.uniform(*self.notification_delays_s))
        except TimeoutError:
            # No change within the requested time: the answer is empty.
            pass
        if self.era != era or not self._is_watchable(kind, after_revision):
            return web.Response(status=410)
        events = [
            {"object": stored_object, "deleted": deleted}
            for _, stored_object, deleted in self._events_after(kind, after_revision)
        ]
        return web.json_response({"events": events, "current_rev": self.revision})

    def _is_watchable(self, kind: str, revision: int) -> bool:
        return self._oldest_watchable_revision[kind] <= revision <= self.revision

    def _events_after(
        self, kind: str, after_revision: int
    ) -> list[tuple[int, dict[str, Any], bool]]:
        return [event for event in self._events[kind] if event[0] > after_revision]

    async def _handle_object(self, request: web.Request) -> web.Response:
        refusal = await self._record_call(request)
        if refusal is not None:
            return refusal
        kind, name = request.match_info["kind"], request.match_info["name"]
        stored_object = self._objects[kind].get(name)
        if stored_object is None:
            return web.Response(status=404)
        if request.method == "GET":
            return web.json_response(stored_object)
        if request.method == "DELETE":
            if not self._matches(stored_object, request.query.get("rev")):
                return web.json_response(stored_object, status=409)
            await self.remove(kind, name)
            return await self._respond(request, web.json_response(stored_object))
        body = json.loads(await request.read())
        if self.next_update_delay_s:
            delay_s, self.next_update_delay_s = self.next_update_delay_s, 0.0
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._execute_delayed_update, kind, name, body)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        revision = body["meta"].get("rev") or request.query.get("rev")
        if not self._matches(stored_object, revision):
            return web.json_response(stored_object, status=409)
        updated_object = self._store(kind, name, body["spec"])
        await self._notify_watches()
        return await self._respond(request, web.json_response(updated_object))

    def _matches(self, stored_object: dict[str, Any], revision: int | str | None) -> bool:
        return revision is None or str(revision) == str(stored_object["meta"]["rev"])

    def _execute_delayed_update(self, kind: str, name: str, body: dict[str, Any]) -> None:
        """Executes an update after its connection was closed, if its revision still matches."""
        stored_object = self._objects[kind].get(name)
        if stored_object is not None and self._matches(stored_object, body["meta"].get("rev")):
            self._store(kind, name, body["spec"])

    @property
    def late_promotions(self) -> list[PromotionRequest]:
        """The promotion requests that are still to be carried out, once for each time."""
        return [late.request for late in self._late_promotions]

    def carry_out_late_promotions(self) -> None:
        """Carries out all late promotion requests now instead of at their time."""
        for late in list(self._late_promotions):
            self._carry_out(late)

    async def _handle_promotion(self, request: web.Request) -> web.Response:
        if self.promotions_to_refuse > 0:
            self.promotions_to_refuse -= 1
            return web.Response(status=429)
        body = json.loads(await request.read())
        promotion = PromotionRequest(
            body["service"],
            body["id"],
            request.headers["Duty-Holder"],
            int(request.headers["Fencing-Token"]),
        )
        self.promotion_requests.append(promotion)
        fault = self.promotion_faults.popleft() if self.promotion_faults else PromotionFault()
        # Each runs on when the caller closes the connection.
        first, *_ = [self._promote(promotion, time_s) for time_s in fault.carried_out_after_s]
        match fault.answer:
            case PromotionAnswer.AT_ONCE:
                return web.Response()
            case PromotionAnswer.NEVER:
                await asyncio.Event().wait()
            case PromotionAnswer.RESET:
                assert request.transport is not None
                request.transport.abort()
        return web.Response(status=200 if await first else 409)

    def _promote(self, promotion: PromotionRequest, delay_s: float) -> asyncio.Future[bool]:
        """Carries out a promotion request after a time; the result says whether it is accepted."""
        loop = asyncio.get_running_loop()
        late = _LatePromotion(promotion, loop.create_future())
        self._late_promotions.append(late)
        if delay_s:
            late.timer = loop.call_later(delay_s, self._carry_out, late)
        else:
            self._carry_out(late)
        return late.accepted

    def _carry_out(self, late: _LatePromotion) -> None:
        self._late_promotions.remove(late)
        if late.timer is not None:
            late.timer.cancel()
        group = self.groups.get(late.request.service)
        late.accepted.set_result(
            group is not None
            and late.request.member not in self.unpromotable_members
            and group.promote(late.request.member)
        )

    async def declare_configuration(
        self,
        version: int,
        routes: list[dict[str, Any]],
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Writes a configuration with all groups as services, and accounts if there are any."""
        services = [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": group.options.max_connections,
                "sync_replicas": self.sync_replicas,
            }
            for name, group in self.groups.items()
        ]
        limits = {"tx_idle_ms": 500}
        spec = {"version": version, "routes": routes, "services": services, "limits": limits}
        if tenants is not None:
            spec["tenants"] = tenants
        await self.put("config", "main", spec)

    async def register_member(
        self, member: line_group.LineMember, state: str = "", address: str = ""
    ) -> None:
        """Writes a member's record.

        Args:
          member: The member.
          state: "ready" or "draining"; empty to keep the state of the existing record, or "ready"
            if there is none of this process.
          address: The address at which instances reach the member; empty for the address that it
            listens on.
        """
        stored_object = self._objects["servers"].get(member.id)
        written = None if stored_object is None else stored_object["spec"]
        if written is not None and written["born"] != member.born_ms:
            # A process counts its reports from its own start and knows no state of the one before.
            written = None
        spec = member_record(
            member.group.name,
            address or member.address,
            slots=member.group.options.slots,
            state=state or ("ready" if written is None else written["state"]),
            primary=member.is_primary,
            started_ms=member.born_ms,
        )
        if written is not None:
            spec["seq"] = written["seq"]
            if spec != written:
                spec["seq"] += 1
        await self.put("servers", member.id, spec)

    async def restart_member(
        self, member: line_group.LineMember, restart: Restart, address: str = ""
    ) -> None:
        """Ends a member like a killed process and starts another one under its id and address.

        Args:
          member: The member.
          restart: How it restarts. Returns after a late record has been written.
          address: The address in its record, as for `register_member`.
        """

        async def write_record() -> None:
            member.record_withheld = False
            await self.register_member(member, address=address)

        member.record_withheld = True
        await member.stop()
        if not restart.keeps_log:
            member.lose_log()
        await asyncio.sleep(restart.pause_s)
        await member.start(write_record if restart.news is News.EARLY else None)
        if restart.news is News.LATE:
            await asyncio.sleep(restart.news_delay_s)
            await write_record()


def member_record(
    service: str,
    address: str,
    *,
    slots: int = 2,
    state: str = "ready",
    primary: bool = False,
    report_number: int = 1,
    started_ms: int = 1_700_000_000_000,
) -> dict[str, Any]:
    """Returns the record of a member, as the member writes it."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold_remaining_ms": 0,
        "db_role": "primary" if primary else "replica",
        "seq": report_number,
        "born": started_ms,
    }


def route(
    database: str,
    service: str,
    kind: str,
    max_staleness_ms: int | None = None,
    *,
    latency_objective_ms: int = 200,
) -> Any:
    """Returns a route, as operators declare it."""
    route_spec: dict[str, Any] = {
        "name": f"r-{database}",
        "host": database,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": latency_objective_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    if max_staleness_ms is not None:
        route_spec["max_staleness_ms"] = max_staleness_ms
    return route_spec


def tenant(name: str, *keys: str, rate_per_s: float = 1000, burst: float = 1000) -> Any:
    """Returns a client account, as operators declare it."""
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "rate_per_s": rate_per_s,
        "burst": burst,
    }
