"""Guards the promises for statements that run at an owner, also when that owner is lost."""

import asyncio

import pytest

from bilberrystack.pooling import views
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

INSTANCES = 5

# Room for two owners with three connections each.
SCARCE = line_group.GroupOptions(max_connections=7, lag_s=0.2)


async def _started(site):
    """Waits until all instances know who owns the group; returns a session at another one."""
    await site.until(lambda: _owned(site).count(True) == 2)
    return await site.connect("own", _owned(site).index(False))


def _owned(site):
    groups = [one.executor(line_site.SERVICE) for one in site.instances]
    return [group is not None and group.group.owned for group in groups]


async def test_a_forwarded_session_reads_its_own_writes():
    """The mark of the session's last write goes with each statement."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        session = await _started(site)
        await session.ask("SET zone a")
        await session.ask("PREPARE put WRITE q")
        for number in range(4):
            assert (await session.ask(f"EXEC put x {number}"))[0].startswith("DONE proof")
            assert (await session.ask("READ x"))[0] == f"ROW {number}"
        assert all(run.values == {"zone": "a"} for run in site.group.runs)


async def test_members_see_no_more_connections_than_they_accept():
    """Five instances with a share each would not fit."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        sessions = [await _started(site) for _ in range(6)]
        await asyncio.gather(*(one.ask("READ x") for one in sessions))
        held = [member.connections for member in site.group.members.values()]
        assert max(held) <= SCARCE.max_connections


async def test_a_forwarded_transaction_is_one_at_the_member():
    """Statements of one transaction must not spread over connections of the owner."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        one = await _started(site)
        other = await _started(site)
        assert await one.ask("BEGIN") == ["DONE -", "READY T -"]
        assert (await one.ask("WRITE x 1"))[-1].startswith("READY T")
        assert (await other.ask("READ x"))[0] == "ROW -"
        assert (await one.ask("COMMIT"))[0].startswith("DONE proof")
        assert (await one.ask("READ x"))[0] == "ROW 1"


async def test_a_client_that_leaves_frees_the_owners_connection():
    """Transactions of clients that have gone would use up the owner's connections."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        for _ in range(8):
            one = await _started(site)
            await one.ask("BEGIN")
            await one.ask("WRITE x 1")
            one.close()
        other = await _started(site)
        assert (await other.ask("WRITE y 2"))[0].startswith("DONE proof")
        assert (await other.ask("READ x"))[0] == "ROW -"


async def test_the_loss_of_an_owner_gives_true_outcomes():
    """An open transaction is rolled back, and the next statement runs at another owner."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        sessions = [await _started(site) for _ in range(4)]
        for number, one in enumerate(sessions):
            await one.ask("BEGIN")
            await one.ask(f"WRITE k{number} 1")
        lost = _owned(site).index(True)
        await site.instances[lost].terminate()
        answers = [await one.ask("COMMIT", f"c{n}") for n, one in enumerate(sessions)]
        for number, answer in enumerate(answers):
            assert answer[0].startswith(("DONE proof", "ERR ABORTED", "ERR UNSURE"))
            if answer[0].startswith("ERR ABORTED"):
                assert site.group.commits[f"c{number}"] == 0
        again = ["ERR BUSY"]
        async with asyncio.timeout(10):
            while again[0].startswith("ERR BUSY"):
                again = await sessions[0].ask("WRITE z 1", "again")
        assert again[0].startswith("DONE proof")
        assert site.group.commits["again"] == 1


async def test_an_owner_that_knows_no_groups_is_passed_over():
    """Owners that had started without the store refused 200 statements a second."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        sessions = [await _started(site) for _ in range(6)]
        site.instances[_owned(site).index(True)]._executors.clear()
        for number, one in enumerate(sessions):
            assert (await one.ask(f"WRITE k{number} 1"))[0].startswith("DONE proof")


async def test_a_broken_frame_ends_that_link_alone():
    """Another process's bytes on the internal port must not end the instance."""
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n\x00\x00\x00\x03abc")
        assert await reader.read() == b""
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n\xff\xff\xff\xff")
        assert await reader.read() == b""
        assert (await (await site.connect("own")).ask("READ x"))[0] == "ROW -"


async def test_an_owner_lets_no_older_configuration_rule():
    """An entry that learns of a dropped route late would take its owner back to it."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        session = await _started(site)
        entry = next(
            one for one in site.instances if not one.executor(line_site.SERVICE).group.owned
        )
        stale = entry.configuration
        await site.platform.declare(2, [one for one in line_site.ROUTES if one["host"] != "own"])
        await site.until(lambda: all(one.configuration.version == 2 for one in site.instances))
        for one in site.instances:
            if not one.executor(line_site.SERVICE).group.owned:
                one._directory._configuration = stale
        assert (await session.ask("WRITE x 1", "late"))[0].startswith("ERR NODB")
        assert site.group.commits["late"] == 0


async def _write_until(session, ended, name):
    """Writes again and again; returns the answers' first lines by id."""
    answers = {}
    while not ended.is_set():
        request_id = f"{name}-{len(answers)}"
        answers[request_id] = (await session.ask("WRITE x 1", request_id))[0]
    return answers


async def test_a_planned_stop_of_an_owner_cuts_off_no_forwarded_statement(monkeypatch):
    """A stopping owner ended with the statements of others running: writes became unsure."""
    # The other instances go on taking it for an owner, as they do for up to 5 s.
    monkeypatch.setattr(views, "INITIAL_LIST_INTERVALS_S", (0.3, 0.3, 60.0))
    options = line_group.GroupOptions(max_connections=7, lag_s=0.2, work_s=0.3)
    async with line_site.Site(INSTANCES, options) as site:
        sessions = [await _started(site) for _ in range(3)]
        ended = asyncio.Event()
        writing = [
            asyncio.create_task(_write_until(one, ended, f"w{number}"))
            for number, one in enumerate(sessions)
        ]
        await asyncio.sleep(1.0)
        stopping = _owned(site).index(True)
        site.instances[stopping].request_stop()
        async with asyncio.timeout(8):
            await site.ended(stopping)
        await asyncio.sleep(0.2)
        ended.set()
        for answers in await asyncio.gather(*writing):
            for request_id, answer in answers.items():
                assert answer.startswith(("DONE proof", "ERR BUSY"))
                assert site.group.commits[request_id] == answer.startswith("DONE")


async def test_a_transaction_at_a_stopping_owner_may_end():
    """It has half of the grace time, as a client's own has."""
    async with line_site.Site(INSTANCES, SCARCE) as site:
        one = await _started(site)
        await one.ask("BEGIN")
        assert (await one.ask("WRITE x 1"))[0].startswith("DONE proof")
        for number, owned in enumerate(_owned(site)):
            if owned:
                site.instances[number].request_stop()
        await asyncio.sleep(0.1)
        assert (await one.ask("COMMIT"))[0].startswith("DONE proof")


async def test_an_instance_that_members_shut_out_is_served_by_another():
    """After a loss of power old connections linger for 3 s, and half of the instances got none."""
    options = line_group.GroupOptions(max_connections=7)
    async with line_site.Site(3, options) as site:
        groups = [one.executor(line_site.SERVICE).group for one in site.instances]
        await site.until(lambda: all(one.pools["a"].connected for one in groups))
        session = await site.connect("strict")
        member = site.group.members["a"]
        host, port = member.address.split(":")
        groups[0].pools["a"].close()
        await asyncio.sleep(0)
        lingering = []
        while True:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"START store-1 linger a\r\n")
            lingering.append(writer)
            if not (await reader.readline()).startswith(b"READY"):
                break
        answer = ["ERR BUSY"]
        async with asyncio.timeout(2.0):
            while answer[0].startswith("ERR BUSY"):
                answer = await session.ask("WRITE x 1")
        assert answer[0].startswith("DONE proof")
        for writer in lingering:
            writer.close()
