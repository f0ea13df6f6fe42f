"""Stand-in of the platform: the store of objects, its watches, and the promotion calls."""

import asyncio
import collections.abc
import dataclasses
import json
import urllib.parse
from typing import Any

from record import Record

# Answers a call to POST /promote: takes the service and the id, returns the HTTP status.
Promote = collections.abc.Callable[[str, str], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call.

    Attributes:
      method: The method.
      path: The path without the query.
      query: The parameters of the query.
      headers: The header fields by name in lower case.
      body: The body; empty for none.
      caller: IP address of the caller.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller: str


class Platform:
    """Serves the store and the promotion calls on one port.

    Attributes:
      lose_answers: Returns whether the answer to an executed call is lost.
      port: The port that it listens on.
    """

    def __init__(self, record: Record, promote: Promote) -> None:
        self.lose_answers: collections.abc.Callable[[Call], bool] = lambda _: False
        self.port = 0
        self._record = record
        self._promote = promote
        self._revision = 10
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """HOST:PORT of the store and of the promotion calls."""
        return f"127.0.0.1:{self.port}"

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator and the members do."""
        self._write(kind, name, spec)
        await self._notify()

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> Any:
        """Return the content of an object; None if there is none."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None else stored["spec"]

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        created = self._revision if known is None else known["meta"]["created"]
        meta = {
            "name": name,
            "rev": self._revision,
            "created": created,
            "finalizers": [],
            "deletion_pending": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self._events.append((self._revision, kind, objects[name], False))
        return objects[name]

    def _delete(self, kind: str, name: str) -> None:
        removed = self._objects[kind].pop(name)
        self._revision += 1
        self._events.append((self._revision, kind, removed, True))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = writer.get_extra_info("peername")[0]
        try:
            while (call := await _read_call(reader, caller)) is not None:
                status, body = await self._answer(call)
                if self.lose_answers(call):
                    self._record.write(f"store answer lost: {call.method} {call.path}")
                    # A connection on which an answer is lost returns nothing more.
                    await reader.read()
                    return
                content = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, EOFError):
            # The caller has gone.
            pass
        finally:
            writer.close()

    async def _answer(self, call: Call) -> tuple[int, Any]:
        if call.path == "/promote":
            body = json.loads(call.body)
            status = self._promote(body["service"], body["id"])
            self._record.write(
                f"promote {body['service']} {body['id']}"
                f" holder={call.headers.get('duty-holder')}"
                f" token={call.headers.get('fencing-token')} -> {status}"
            )
            return status, {}
        parts = call.path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, {}
        kind = parts[1]
        if len(parts) == 2:
            return await self._answer_kind(call, kind)
        return await self._answer_object(call, kind, urllib.parse.unquote(parts[2]))

    async def _answer_kind(self, call: Call, kind: str) -> tuple[int, Any]:
        if call.method == "POST":
            body = json.loads(call.body)
            name = body["meta"]["name"]
            known = self._objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            stored = self._write(kind, name, body["spec"])
            await self._notify()
            return 201, stored
        if "watch" in call.query:
            return await self._watch(call, kind)
        items = [stored for _, stored in sorted(self._objects.get(kind, {}).items())]
        return 200, {"items": items, "more": False, "current_rev": self._revision}

    async def _watch(self, call: Call, kind: str) -> tuple[int, Any]:
        since = int(call.query["watch"])
        wait_s = int(call.query.get("wait_ms", "0")) / 1000

        def events() -> list[dict[str, Any]]:
            return [
                {"object": stored, "deleted": deleted}
                for revision, changed_kind, stored, deleted in self._events
                if revision > since and changed_kind == kind
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            # Nothing has changed: the answer has no events.
            pass
        return 200, {"events": events(), "current_rev": self._revision}

    async def _answer_object(self, call: Call, kind: str, name: str) -> tuple[int, Any]:
        stored = self._objects.get(kind, {}).get(name)
        if stored is None:
            return 404, {}
        if call.method == "GET":
            return 200, stored
        if call.method == "DELETE":
            self._delete(kind, name)
            await self._notify()
            return 200, stored
        body = json.loads(call.body)
        revision = body["meta"].get("rev")
        if revision is not None and revision != stored["meta"]["rev"]:
            return 409, stored
        stored = self._write(kind, name, body["spec"])
        await self._notify()
        return 200, stored


async def _read_call(reader: asyncio.StreamReader, caller: str) -> Call | None:
    """Read one call; return None at the end of the connection."""
    line = (await reader.readline()).decode().split()
    if len(line) < 2:
        return None
    headers: dict[str, str] = {}
    while field := (await reader.readline()).decode().strip():
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = line[1].partition("?")
    return Call(line[0], path, dict(urllib.parse.parse_qsl(query)), headers, body, caller)
