"""Tests the guarantees for statements that run at an owner, also when that owner fails."""

import asyncio
import time

import pytest

from bilberrystack.pooling import execution
from bilberrystack.pooling import forwarding
from bilberrystack.pooling import frames
from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.pooling import tasks
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import running_time
from bilberrystack.routing import statements
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

INSTANCES = 5

# The connection limit allows two owners with three connections each.
TWO_OWNERS = line_group.GroupOptions(max_connections=7, apply_lag_s=0.2)


async def _connect_to_non_owner(site):
    """Wait until all instances know the group's owners; open a session at another instance."""
    await site.wait_until(lambda: _are_owners(site).count(True) == 2)
    return await site.connect("own", _are_owners(site).index(False))


def _are_owners(site):
    executors = [instance.executor(line_site.SERVICE) for instance in site.instances]
    return [executor is not None and executor.group.owned for executor in executors]


async def test_a_forwarded_session_reads_its_own_writes():
    """Guards against a forwarded statement without the session's last-write position."""
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        session = await _connect_to_non_owner(site)
        await session.query("SET zone a")
        await session.query("PREPARE put WRITE q")
        for number in range(4):
            assert (await session.query(f"EXEC put x {number}"))[0].startswith("DONE proof")
            assert (await session.query("READ x"))[0] == f"ROW {number}"
        assert all(run.session_values == {"zone": "a"} for run in site.group.executed_statements)


async def test_members_see_no_more_connections_than_they_accept():
    """Guards against connections of five instances, which exceed the members' limit."""
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        sessions = [await _connect_to_non_owner(site) for _ in range(6)]
        await asyncio.gather(*(session.query("READ x") for session in sessions))
        connections = [member.connection_count for member in site.group.members.values()]
        assert max(connections) <= TWO_OWNERS.max_connections


async def test_a_forwarded_transaction_runs_on_one_member_connection():
    """Guards against statements of a transaction that run on several connections of the owner."""
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        session = await _connect_to_non_owner(site)
        other_session = await _connect_to_non_owner(site)
        assert await session.query("BEGIN") == ["DONE -", "READY T -"]
        assert (await session.query("WRITE x 1"))[-1].startswith("READY T")
        assert (await other_session.query("READ x"))[0] == "ROW -"
        assert (await session.query("COMMIT"))[0].startswith("DONE proof")
        assert (await session.query("READ x"))[0] == "ROW 1"


async def test_a_client_that_disconnects_frees_the_owners_connection():
    """Guards against transactions of disconnected clients that exhaust the owner's connections."""
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        for _ in range(8):
            session = await _connect_to_non_owner(site)
            await session.query("BEGIN")
            await session.query("WRITE x 1")
            session.close()
        other_session = await _connect_to_non_owner(site)
        assert (await other_session.query("WRITE y 2"))[0].startswith("DONE proof")
        assert (await other_session.query("READ x"))[0] == "ROW -"


async def test_the_failure_of_an_owner_gives_correct_outcomes():
    """Guards against wrong outcomes of the transactions that an owner had open when it failed.

    They are rolled back, and the next statement runs at another owner.
    """
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        sessions = [await _connect_to_non_owner(site) for _ in range(4)]
        for number, session in enumerate(sessions):
            await session.query("BEGIN")
            await session.query(f"WRITE k{number} 1")
        failed_owner = _are_owners(site).index(True)
        await site.instances[failed_owner].terminate()
        answers = [
            await session.query("COMMIT", f"c{number}") for number, session in enumerate(sessions)
        ]
        for number, answer in enumerate(answers):
            assert answer[0].startswith(("DONE proof", "ERR ABORTED", "ERR UNSURE"))
            if answer[0].startswith("ERR ABORTED"):
                assert site.group.commit_counts[f"c{number}"] == 0
        next_answer = ["ERR BUSY"]
        async with asyncio.timeout(10):
            while next_answer[0].startswith("ERR BUSY"):
                next_answer = await sessions[0].query("WRITE z 1", "again")
        assert next_answer[0].startswith("DONE proof")
        assert site.group.commit_counts["again"] == 1


async def test_an_owner_without_groups_is_avoided():
    """Guards against statements that go to an owner which has not read the groups from the store.

    Such owners rejected 200 statements per second after they had started without the store.
    """
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        sessions = [await _connect_to_non_owner(site) for _ in range(6)]
        site.instances[_are_owners(site).index(True)]._executors.clear()
        for number, session in enumerate(sessions):
            assert (await session.query(f"WRITE k{number} 1"))[0].startswith("DONE proof")


@pytest.mark.parametrize("stalled", [False, True])
async def test_an_owner_is_avoided_for_its_own_silence_only(stalled):
    """An instance that had stood still avoided all owners, whose answers it had not read yet."""
    running = running_time.RunningTime()
    background_tasks = tasks.Tasks()

    async def read_only(reader, writer):
        await reader.read()
        writer.close()

    async with await asyncio.start_server(read_only, "127.0.0.1", 0) as server:
        endpoint = model.Endpoint(*server.sockets[0].getsockname())
        link = forwarding.OwnerLink(endpoint, time.monotonic, background_tasks, running)
        if stalled:
            running.count_until(time.monotonic())
        assert await link.call(frames.rollback_request(1), 0.3) is None
        assert (link.avoid_until_s > time.monotonic()) != stalled
        link.close()
        await background_tasks.close()


async def test_a_malformed_frame_closes_only_its_link():
    """Guards against bytes from another process on the internal port that stop the instance."""
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n\x00\x00\x00\x03abc")
        assert await reader.read() == b""
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n\xff\xff\xff\xff")
        assert await reader.read() == b""
        assert (await (await site.connect("own")).query("READ x"))[0] == "ROW -"


async def test_an_owner_rejects_a_route_of_an_older_configuration():
    """Guards against a write on a removed route that a sender with a stale configuration forwards.

    The sender has not yet received the configuration that its owner has.
    """
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        session = await _connect_to_non_owner(site)
        non_owner = next(
            instance
            for instance in site.instances
            if not instance.executor(line_site.SERVICE).group.owned
        )
        stale_configuration = non_owner.configuration
        await site.platform.declare_configuration(
            2, [route for route in line_site.ROUTES if route["host"] != "own"]
        )
        await site.wait_until(
            lambda: all(instance.configuration.version == 2 for instance in site.instances)
        )
        for instance in site.instances:
            if not instance.executor(line_site.SERVICE).group.owned:
                instance._directory._configuration = stale_configuration
        assert (await session.query("WRITE x 1", "late"))[0].startswith("ERR NODB")
        assert site.group.commit_counts["late"] == 0


async def _write_until(session, ended, name):
    """Write repeatedly until an event is set; return the answers' first lines by request id."""
    answers = {}
    while not ended.is_set():
        request_id = f"{name}-{len(answers)}"
        answers[request_id] = (await session.query("WRITE x 1", request_id))[0]
    return answers


async def test_a_graceful_stop_of_an_owner_completes_forwarded_statements(monkeypatch):
    """Guards against an owner that stops while forwarded statements run.

    The outcomes of writes were then unknown.
    """
    # The other instances still regard the stopping one as an owner, as they do for up to 5 s.
    monkeypatch.setattr(views, "INITIAL_LIST_INTERVALS_S", (0.3, 0.3, 60.0))
    options = line_group.GroupOptions(max_connections=7, apply_lag_s=0.2, service_time_s=0.3)
    async with line_site.Site(INSTANCES, options) as site:
        sessions = [await _connect_to_non_owner(site) for _ in range(3)]
        ended = asyncio.Event()
        writers = [
            asyncio.create_task(_write_until(session, ended, f"w{number}"))
            for number, session in enumerate(sessions)
        ]
        await asyncio.sleep(1.0)
        stopping = _are_owners(site).index(True)
        site.instances[stopping].request_stop()
        async with asyncio.timeout(8):
            await site.wait_until_stopped(stopping)
        await asyncio.sleep(0.2)
        ended.set()
        for answers in await asyncio.gather(*writers):
            for request_id, answer in answers.items():
                assert answer.startswith(("DONE proof", "ERR BUSY"))
                assert site.group.commit_counts[request_id] == answer.startswith("DONE")


async def test_nothing_new_is_sent_to_an_owner_that_stops(monkeypatch):
    """Guards against an unknown outcome of a write that reaches an owner as its process ends."""
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        session = await _connect_to_non_owner(site)
        sender = site.instances[_are_owners(site).index(False)]
        await session.query("WRITE x 1")
        (link,) = [link for link in sender._owner_links.values() if link._writer is not None]
        (stopping,) = [each for each in site.instances if each.endpoint == link._endpoint]
        stopping.request_stop()
        await asyncio.sleep(0.1)

        accept = owner_server.OwnerServer._accept

        def end_or_accept(server, *arguments):
            if server is stopping._owner_server:
                # The process ends before it answers the request.
                raise EOFError
            return accept(server, *arguments)

        monkeypatch.setattr(owner_server.OwnerServer, "_accept", end_or_accept)
        answer = await session.query("WRITE x 2", "late")
        assert answer[0].startswith(("DONE proof", "ERR BUSY"))


async def test_a_transaction_at_a_stopping_owner_can_commit():
    """Guards against a stopping owner that does not wait for forwarded transactions.

    They have half of the grace period, like the transactions of the owner's own clients.
    """
    async with line_site.Site(INSTANCES, TWO_OWNERS) as site:
        session = await _connect_to_non_owner(site)
        await session.query("BEGIN")
        assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")
        for number, is_owner in enumerate(_are_owners(site)):
            if is_owner:
                site.instances[number].request_stop()
        await asyncio.sleep(0.1)
        assert (await session.query("COMMIT"))[0].startswith("DONE proof")


async def test_an_instance_without_member_connections_forwards_to_another():
    """Guards against failed statements at an instance that a member gives no connection.

    After a power failure old connections stay open at the members for 3 s, and half of the
    instances got no new one.
    """
    options = line_group.GroupOptions(max_connections=7)
    async with line_site.Site(3, options) as site:
        groups = [instance.executor(line_site.SERVICE).group for instance in site.instances]
        await site.wait_until(lambda: all(group.pools["a"].connected for group in groups))
        session = await site.connect("strict")
        member = site.group.members["a"]
        host, port = member.address.split(":")
        groups[0].pools["a"].close()
        await asyncio.sleep(0)
        old_connections = []
        while True:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"START store-1 linger a\r\n")
            old_connections.append(writer)
            if not (await reader.readline()).startswith(b"READY"):
                break
        answer = ["ERR BUSY"]
        async with asyncio.timeout(2.0):
            while answer[0].startswith("ERR BUSY"):
                answer = await session.query("WRITE x 1")
        assert answer[0].startswith("DONE proof")
        for writer in old_connections:
            writer.close()


class _Writer:
    """The sending side of a connection that stores nothing."""

    def __init__(self):
        self.closing = False

    def is_closing(self):
        return self.closing

    def write(self, data):
        pass

    def close(self):
        self.closing = True


def _forwarded(sequence_number):
    now_s = asyncio.get_running_loop().time()
    route = model.Route("base", "store", model.Consistency.PRIMARY, 1.0, 1.0, 0, None)
    request = execution.Request(
        f"w{sequence_number}", "WRITE x 1", statements.Access.WRITE, None, now_s, route, {}, None
    )
    return frames.encode_request(request, sequence_number, "write", now_s)


async def test_the_end_of_a_former_connection_ends_no_later_request(monkeypatch):
    """Guards against an unknown outcome of a write that the owner answers on the new connection.

    After a reset, the former connection is still being read when the next request opens a new one.
    """
    connections = []

    async def connect(*_):
        connections.append((asyncio.StreamReader(), _Writer()))
        return connections[-1]

    monkeypatch.setattr(member_link, "connect", connect)
    background_tasks = tasks.Tasks()
    clock = asyncio.get_running_loop().time
    link = forwarding.OwnerLink(model.Endpoint("10.0.0.1", 1), clock, background_tasks)
    former = asyncio.create_task(link.call(_forwarded(1), 5.0))
    await asyncio.sleep(0.01)
    connections[0][1].closing = True
    later = asyncio.create_task(link.call(_forwarded(2), 5.0))
    await asyncio.sleep(0.01)
    connections[0][0].feed_eof()
    assert await former is None
    outcome = frames.encode_outcome(
        2, execution.Outcome((), b"DONE proof-w2"), execution.Trace(), clock(), None
    )
    connections[1][0].feed_data(frames.pack(outcome))
    assert (await later).done == b"DONE proof-w2"
    assert link.pending_requests == 0
    await background_tasks.close()
