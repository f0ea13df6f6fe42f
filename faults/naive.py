"""Naive proxies on the simulated network: differential-test reference and baselines."""

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
    """How a naive proxy routes and orders requests."""

    ONE_AT_A_TIME = "everything at the primary, one request at a time"
    PRIMARY = "everything at the primary"
    REPLICAS_IF_NEVER_WROTE = "replicas only when the session never wrote"


class NaiveInstance:
    """A proxy that knows the primary, acknowledges without a majority and checks nothing."""

    def __init__(self, simulation: fleet.Simulation, name: str, policy: Policy) -> None:
        self.name = name
        self.leaving = False
        self.version = 1
        self.node = None
        self.configuration = None
        self._simulation = simulation
        self._policy = policy
        self._lock = asyncio.Lock()
        self._idle_connections: dict[str, list[members.DataConnection]] = {}
        self._sessions_with_writes: set[str] = set()
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
        server = self._choose_server(request, session)
        connection = self._transactions.get(request.transaction or "")
        connection = connection or await self._take_connection(server)
        reply = await self._run_at_member(connection, server, request, session)
        if request.kind in (requests.Kind.BEGIN, requests.Kind.STATEMENT):
            self._transactions[request.transaction or f"{session}/{request.sequence}"] = connection
        else:
            self._transactions.pop(request.transaction or "", None)
            self._idle_connections[server.process].append(connection)
        match reply:
            case member_types.Executed(body, position):
                transaction = None
                if request.kind is requests.Kind.BEGIN:
                    transaction = f"{session}/{request.sequence}"
                answer = outcomes.Answer(
                    body, position, server.process, not server.state.is_primary, transaction
                )
                return entry.Reply(answer, request.tokens[0])
            case member_types.Refused(_, detail):
                reason = outcomes.NotRunReason.TRANSACTION_ABORTED
                return entry.Reply(outcomes.NotRun(reason, detail))

    def _choose_server(self, request: entry.CallerRequest, session: str) -> members.MemberServer:
        primary = self._simulation.primary(request.group)
        assert primary is not None
        if request.kind is not requests.Kind.READ:
            self._sessions_with_writes.add(session)
            return primary
        if (
            self._policy is Policy.REPLICAS_IF_NEVER_WROTE
            and session not in self._sessions_with_writes
        ):
            servers = self._simulation.servers_by_group[request.group].values()
            return self._simulation.rng.choice(
                [server for server in servers if server is not primary]
            )
        return primary

    async def _take_connection(self, server: members.MemberServer) -> members.DataConnection:
        idle = self._idle_connections.setdefault(server.process, [])
        return idle.pop() if idle else await members.MemberLink(server, self.name).connect()

    async def _run_at_member(
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


async def start_simulation(simulation: fleet.Simulation, policy: Policy) -> None:
    """Start a simulation with a single, naive instance and fixed primaries."""
    for server in simulation.servers_by_address.values():
        server.start()
    for servers in simulation.servers_by_group.values():
        first, *others = servers.values()
        for server in servers.values():
            server.state.fence(1)
        first.state.promote(1)
        for server in others:
            await server.follow(1, first.process)
    simulation.net.add_process("naive", simulation.profile.failure_domains[0])
    simulation.instances["naive"] = NaiveInstance(simulation, "naive", policy)
