"""In-memory fakes of owners, configuration, store and instances, shared by tests."""

import asyncio
import hashlib
import json

import looptime

from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import daemon
from bilberrystack.proxy import interfaces

SECRET = "secret of the analyst"
Kind = requests.Kind
NotRunReason = outcomes.NotRunReason


def declared(groups=("g",), version=1, default_max_age_ms=0):
    """Returns declarations of groups with one member and of the caller "analyst"."""
    member = declarations.MemberDeclaration("m", "127.0.0.1:1", "d1", 16, 2)
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    return declarations.Declarations(
        version,
        {
            name: declarations.GroupDeclaration(name, (member,), default_max_age_ms)
            for name in groups
        },
        {"analyst": declarations.CallerDeclaration("analyst", (digest,), tuple(groups))},
    )


class Configuration:
    """A configuration with given declarations. Serving is allowed while `allowed` is set."""

    def __init__(self, document=None):
        self.declarations = document or declared()
        self.allowed = True
        self.store_contact_at = None
        self.callbacks = []
        self.known_versions = []
        self.received_heads = []

    @property
    def version(self):
        return self.declarations.version

    def on_change(self, callback):
        self.callbacks.append(callback)

    def serving_allowed(self, _now):
        return self.allowed

    def put(self, document):
        self.declarations = document
        for callback in self.callbacks:
            callback()

    async def run(self):
        await asyncio.Event().wait()

    def observe_peer_version(self, version, _peer):
        self.known_versions.append(version)

    async def receive_head(self, head):
        self.received_heads.append(head)

    async def build_transfer(self, _known_parts):
        return interfaces.ConfigurationTransfer(self.version, b"head", {"key": b"part"})


class Store:
    """Stores the list of instances. While `down` is set, every call fails."""

    def __init__(self):
        self.version = 0
        self.value = b""
        self.changed = asyncio.Event()
        self.down = False

    def set_instances(self, *instances):
        keys = ("id", "kind", "address", "failure_domain", "state")
        self.value = json.dumps(
            [dict(zip(keys, instance, strict=True)) for instance in instances]
        ).encode()
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def get(self, key):
        if self.down:
            raise interfaces.StoreUnavailable("down")
        return interfaces.StoredObject(key, self.value, self.version) if self.version else None

    async def watch(self, key, after_version, wait_s):
        if self.down:
            raise interfaces.StoreUnavailable("down")
        if self.version <= after_version:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                return None
        return interfaces.StoredObject(key, self.value, self.version)


class Database:
    """A database group shared by all of its owners. Records answers and cancellations by key."""

    def __init__(self):
        self.runs = []
        self.recorded = {}
        self.cancelled = set()
        self.index = 0

    def write(self, key, body):
        if key in self.cancelled:
            return outcomes.NotRun(NotRunReason.CANCELLED, "cancelled")
        if key in self.recorded:
            return self.answer(self.recorded[key], duplicate=True)
        self.index += 1
        self.runs.append(body)
        self.recorded[key] = body
        return self.answer(body)

    def resolve(self, key):
        if key not in self.recorded:
            self.cancelled.add(key)
            return outcomes.NotRun(NotRunReason.CANCELLED, "cancelled")
        return self.answer(self.recorded[key], duplicate=True)

    def answer(self, body, **fields):
        return outcomes.Answer(body, positions.Position(1, self.index), "m", False, **fields)


class Owner:
    """An owner over a Database.

    A request with the body "hold" runs, but is answered only once `release` is set.
    """

    def __init__(self, database, instance_id, rank):
        self.database = database
        self.instance_id = instance_id
        self.ranks = [rank]
        self.seen = []
        self.transactions = {}
        self.release = asyncio.Event()
        self.leaving_endpoints = frozenset()
        self.refusal_reason = None
        self.closed = False
        self.begun_count = 0

    async def execute(self, request):
        self.seen.append(request)
        if self.refusal_reason is not None:
            return outcomes.NotRun(self.refusal_reason, "refused")
        outcome = self.run(request)
        if request.body == b"hold":
            await self.release.wait()
        return outcome

    def run(self, request):
        database = self.database
        match request.kind:
            case Kind.READ:
                return database.answer(b"read " + request.body)
            case Kind.WRITE | Kind.IDEMPOTENT_WRITE:
                return database.write(request.key, request.body)
            case Kind.RESOLVE:
                return database.resolve(request.key)
            case Kind.BEGIN:
                self.begun_count += 1
                name = f"{self.instance_id}/{id(self)}-{self.begun_count}"
                self.transactions[name] = []
                return database.answer(b"", transaction=name)
        if request.transaction not in self.transactions:
            return outcomes.NotRun(NotRunReason.TRANSACTION_ABORTED, "not open")
        if request.kind is Kind.STATEMENT:
            self.transactions[request.transaction].append(request.body)
            return database.answer(request.body)
        statements = self.transactions.pop(request.transaction)
        if request.kind is Kind.ABORT:
            return database.answer(b"")
        return database.write(request.key, b",".join(statements))

    def set_rank(self, rank):
        self.ranks.append(rank)

    def set_leaving_endpoints(self, addresses):
        self.leaving_endpoints = addresses

    def view(self):
        return interfaces.GroupView(
            "g", self.ranks[-1], "m", 1, positions.ZERO, (), 0, 0, len(self.transactions), ""
        )

    async def close(self):
        self.closed = True


class Budget:
    """A retry budget, unlimited if `allowed` is set and otherwise empty."""

    def __init__(self, allowed=True):
        self.allowed = allowed
        self.retries_taken = 0

    def record_request(self, _now):
        pass

    def try_acquire(self, _now):
        self.retries_taken += 1
        return self.allowed


class Instance:
    """The settings and adapters of one instance that runs with sockets."""

    def __init__(self, database, name="a", domain="d1", document=None):
        self.database = database
        self.configuration = Configuration(document)
        self.store = Store()
        self.owners = []
        self.settings = daemon.DaemonSettings(
            name, domain, "127.0.0.1", "127.0.0.1", 0, "127.0.0.1", 0, (b"key",), b"fleet"
        )

    def open_owner(self, _declaration, rank):
        self.owners.append(Owner(self.database, self.settings.instance_id, rank))
        return self.owners[-1]

    @property
    def adapters(self):
        return daemon.Adapters(
            self.store, lambda _peers: self.configuration, self.open_owner, Budget()
        )

    def running(self):
        return daemon.open_instance(self.settings, self.adapters)


async def until(condition):
    """Waits until a condition is true."""
    while not condition():
        await asyncio.sleep(0.001)


def run_on_paused_clock(main):
    """Runs a coroutine function on an event loop whose clock jumps to the next timer."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(main())
