"""Naive proxies on the same fakes: the reference of the differential test and the baselines."""

import asyncio
import enum

from bilberrystack.core import errors
from bilberrystack.core import members as member_types
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import entry
from faults import fleet
from faults import members


class Policy(enum.Enum):
    """How a naive proxy treats requests."""

    ONE_AT_A_TIME = "everything at the primary, one request at a time"
    PRIMARY = "everything at the primary"
    REPLICAS_IF_NEVER_WROTE = "replicas only when the session never wrote"


class NaiveInstance:
    """One proxy that knows the primary, acknowledges at once and checks nothing."""

    def __init__(self, world: fleet.Fleet, name: str, policy: Policy) -> None:
        self.name = name
        self.leaving = False
        self.version = 1
        self.node = None
        self.configuration = None
        self._world = world
        self._policy = policy
        self._lock = asyncio.Lock()
        self._idle: dict[str, list[members.DataConnection]] = {}
        self._wrote: set[str] = set()
        self._transactions: dict[str, members.DataConnection] = {}

    async def open_session(self, session: str) -> bytes:
        return session.encode()

    async def execute(self, request: entry.CallerRequest) -> entry.Reply | errors.CallerError:
        if self._policy is not Policy.ONE_AT_A_TIME:
            return await self._execute(request)
        async with self._lock:
            return await self._execute(request)

    async def _execute(self, request: entry.CallerRequest) -> entry.Reply:
        session = request.tokens[0].decode()
        server = self._server(request, session)
        connection = self._transactions.get(request.transaction or "")
        connection = connection or await self._connection(server)
        reply = await self._run(connection, server, request, session)
        if request.kind in (requests.Kind.BEGIN, requests.Kind.STATEMENT):
            self._transactions[request.transaction or f"{session}/{request.sequence}"] = connection
        else:
            self._transactions.pop(request.transaction or "", None)
            self._idle[server.party].append(connection)
        match reply:
            case member_types.Executed(body, position):
                transaction = None
                if request.kind is requests.Kind.BEGIN:
                    transaction = f"{session}/{request.sequence}"
                answer = outcomes.Answer(
                    body, position, server.party, not server.state.is_primary, transaction
                )
                return entry.Reply(answer, request.tokens[0])
            case member_types.Refused(_, detail):
                reason = outcomes.NotRunReason.TRANSACTION_ABORTED
                return entry.Reply(outcomes.NotRun(reason, detail))

    def _server(self, request: entry.CallerRequest, session: str) -> members.MemberServer:
        primary = self._world.primary(request.group)
        assert primary is not None
        if request.kind is not requests.Kind.READ:
            self._wrote.add(session)
            return primary
        if self._policy is Policy.REPLICAS_IF_NEVER_WROTE and session not in self._wrote:
            servers = self._world.members[request.group].values()
            return self._world.random.choice([one for one in servers if one is not primary])
        return primary

    async def _connection(self, server: members.MemberServer) -> members.DataConnection:
        idle = self._idle.setdefault(server.party, [])
        return idle.pop() if idle else await members.MemberLink(server, self.name).connect()

    async def _run(
        self,
        connection: members.DataConnection,
        server: members.MemberServer,
        request: entry.CallerRequest,
        session: str,
    ) -> member_types.MemberReply:
        term = server.state.promised_term
        key = requests.RequestKey(session, request.sequence)
        match request.kind:
            case requests.Kind.READ:
                return await connection.read(request.body, positions.ZERO, 0.0)
            case requests.Kind.BEGIN:
                return await connection.begin(term)
            case requests.Kind.STATEMENT:
                return await connection.statement(request.body)
            case requests.Kind.COMMIT:
                return await connection.commit(key)
            case requests.Kind.ABORT:
                return await connection.abort()
            case requests.Kind.RESOLVE:
                return await connection.resolve(term, key)
            case _:
                return await connection.write(term, key, request.body)


async def start(world: fleet.Fleet, policy: Policy) -> None:
    """Starts a world whose one instance is naive; its primaries never change."""
    for server in world.by_address.values():
        server.start()
    for servers in world.members.values():
        first, *others = servers.values()
        for server in servers.values():
            server.state.fence(1)
        first.state.promote(1)
        for server in others:
            await server.follow(1, first.party)
    world.net.add("naive", world.profile.domains[0])
    world.instances["naive"] = NaiveInstance(world, "naive", policy)
