"""Tests the guarantees of the session mode on real sockets, with stand-ins for the platform."""

import asyncio

import loguru
import pytest

from bilberrystack.pooling import instance
from bilberrystack.pooling import session
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server

pytestmark = pytest.mark.asyncio

DONE = ["DONE -", "READY I -"]


async def test_a_session_reads_its_own_write_at_once():
    """A lagging replica must not answer a session's read of its own write."""
    async with line_site.Site(options=line_group.GroupOptions(apply_lag_s=0.3)) as site:
        client = await site.connect("own")
        for number in range(5):
            answer = await client.query(f"WRITE x {number}")
            assert answer[0].startswith("DONE proof")
            assert (await client.query("READ x"))[0] == f"ROW {number}"


async def test_a_read_of_another_session_is_never_older_than_its_route_allows():
    """Reads of a route to the primary must see every acknowledged write of any session."""
    async with line_site.Site(2, line_group.GroupOptions(apply_lag_s=0.3)) as site:
        writer, reader = await site.connect("strict", 0), await site.connect("strict", 1)
        for number in range(5):
            await writer.query(f"WRITE x {number}")
            assert (await reader.query("READ x"))[0] == f"ROW {number}"


async def test_values_and_prepared_statements_of_sessions_are_isolated():
    """Guards against values and prepared statements that earlier sessions set on a connection."""
    async with line_site.Site() as site:
        sessions = [await site.connect("strict") for _ in range(4)]
        for number, session in enumerate(sessions):
            assert await session.query(f"SET name-{number % 2} v{number}") == DONE
            access = "READ" if number % 2 else "WRITE"
            assert await session.query(f"PREPARE s {access} shape") == DONE
        for number, session in enumerate(sessions * 3):
            session_number = number % 4
            text = "EXEC s x" if session_number % 2 else f"EXEC s x {number}"
            answer = await session.query(text, f"id{number}")
            assert answer[-2].startswith("DONE proof")
            run = next(
                run for run in site.group.executed_statements if run.request_id == f"id{number}"
            )
            assert run.session_values == {f"name-{session_number % 2}": f"v{session_number}"}
            assert run.text.startswith("READ" if session_number % 2 else "WRITE")


async def test_a_forgotten_or_unknown_prepared_statement_is_an_error():
    """The prepared statement of another session must not be found."""
    async with line_site.Site() as site:
        client, other_client = await site.connect("own"), await site.connect("own")
        await client.query("PREPARE s READ q")
        await client.query("FORGET s")
        assert (await client.query("EXEC s x"))[0].startswith("ERR NOSTMT")
        assert (await other_client.query("EXEC s x"))[0].startswith("ERR NOSTMT")


async def test_a_transaction_keeps_its_connection_and_its_writes():
    """Statements of other sessions must not run inside the transaction, and see only its commit."""
    async with line_site.Site() as site:
        client, other_client = await site.connect("strict"), await site.connect("strict")
        assert await client.query("BEGIN") == ["DONE -", "READY T -"]
        assert (await client.query("WRITE x 1"))[-1].startswith("READY T")
        assert (await other_client.query("READ x"))[0] == "ROW -"
        assert (await client.query("COMMIT"))[0].startswith("DONE proof")
        assert (await other_client.query("READ x"))[0] == "ROW 1"


async def test_a_busy_member_does_not_end_a_transaction():
    """A full primary rejected 313 of 437 statements in transactions, which all had to restart."""
    async with line_site.Site() as site:
        # Statements are retried for a part of the objective, which has to outlast a busy machine.
        route = platform_server.route(
            "strict", line_site.SERVICE, "primary", latency_objective_ms=2000
        )
        await site.platform.declare_configuration(2, [route])
        await site.wait_until(lambda: site.instances[0].configuration.version == 2)
        client, primary = await site.connect("strict"), site.group.members["a"]
        primary.statements_to_reject = 2
        await client.query("BEGIN")
        assert (await client.query("WRITE x 1"))[0].startswith("DONE proof")
        primary.statements_to_reject = 2
        assert (await client.query("WRITE y 1"))[0].startswith("DONE proof")
        primary.statements_to_reject = 2
        assert (await client.query("COMMIT", "end"))[0].startswith("DONE proof")
        assert site.group.commit_counts["end"] == 1


async def test_a_statement_is_not_retried_at_once_on_a_busy_member():
    """A full primary got 2,500 attempts per second for 250 statements."""
    async with line_site.Site() as site:
        # Statements are retried for a part of the objective, which has to outlast a busy machine.
        route = platform_server.route(
            "strict", line_site.SERVICE, "primary", latency_objective_ms=2000
        )
        await site.platform.declare_configuration(2, [route])
        await site.wait_until(lambda: site.instances[0].configuration.version == 2)
        client = await site.connect("strict")
        await client.query("READ x")
        primary = site.group.members["a"]
        primary.statements_to_reject = 1
        started_at_s = asyncio.get_running_loop().time()
        assert (await client.query("READ x"))[0] == "ROW -"
        assert asyncio.get_running_loop().time() - started_at_s > 0.015
        # On a member that stays full, the client gets the error after only a few attempts.
        await site.platform.declare_configuration(3, line_site.ROUTES)
        await site.wait_until(lambda: site.instances[0].configuration.version == 3)
        primary.statements_to_reject = 100
        assert (await client.query("READ x"))[0].startswith("ERR BUSY")
        assert primary.statements_to_reject >= 97


async def test_the_transaction_of_a_disconnected_client_is_rolled_back():
    """Otherwise the next session's statements on the connection would run in that transaction."""
    async with line_site.Site(options=line_group.GroupOptions(max_connections=2)) as site:
        for _ in range(4):
            client = await site.connect("strict")
            await client.query("BEGIN")
            await client.query("WRITE x 1")
            client.close()
        other_client = await site.connect("strict")
        assert (await other_client.query("READ x"))[0] == "ROW -"
        assert site.group.commit_counts.total() == 0


async def test_a_transaction_that_is_idle_too_long_is_rolled_back():
    """Idle clients must not hold the limited connections."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        await asyncio.sleep(0.7)
        assert (await client.query("WRITE x 2"))[0].startswith("ERR ABORTED")
        assert (await client.query("READ x"))[0].startswith("ERR BAD")
        assert (await client.query("ROLLBACK"))[-1].startswith("READY I")
        assert (await client.query("READ x"))[0] == "ROW -"


async def test_a_read_whose_answer_is_lost_is_retried_at_another_member():
    """Otherwise the read would wait until its time limit."""
    async with line_site.Site() as site:
        client = await site.connect("aged")
        await client.query("READ x")
        site.group.members["b"].answers_to_lose = 1
        while site.group.members["b"].answers_to_lose:
            started_at_s = asyncio.get_running_loop().time()
            assert (await client.query("READ x"))[0] == "ROW -"
            assert asyncio.get_running_loop().time() - started_at_s < 0.9


async def test_a_write_whose_answer_is_lost_has_an_unknown_outcome_and_is_not_retried():
    """A write that is executed twice corrupts data: a diary day counts twice in weekly tallies."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("READ x")
        site.group.members["a"].answers_to_lose = 1
        assert (await client.query("WRITE x 1", "once"))[0].startswith("ERR UNSURE")
        await asyncio.sleep(0.3)
        assert site.group.commit_counts["once"] == 1


async def test_a_connection_whose_answer_is_lost_is_soon_replaced():
    """Such connections were kept for 5 s, and a few lost answers left an instance without any."""
    options = line_group.GroupOptions(max_connections=2)
    async with line_site.Site(options=options) as site:
        client = await site.connect("strict")
        await client.query("READ x")
        site.group.members["a"].answers_to_lose = 2
        clients = [await site.connect("strict") for _ in range(2)]
        answers = await asyncio.gather(*(session.query("WRITE x 1") for session in clients))
        assert all(answer[0].startswith("ERR UNSURE") for answer in answers)
        started_at_s = asyncio.get_running_loop().time()
        answer = ["ERR BUSY"]
        while answer[0].startswith("ERR BUSY"):
            answer = await client.query("READ x")
        assert answer[0] == "ROW 1"
        assert asyncio.get_running_loop().time() - started_at_s < 2.0


async def test_connections_within_the_fair_share_stay_open():
    """A new connection takes a member's slot for 12 ms; 18,462 were opened in a fault-free day."""
    async with line_site.Site(options=line_group.GroupOptions(service_time_s=0.05)) as site:
        sessions = [await site.connect("strict") for _ in range(4)]
        # Only a few connections to a member are opened at a time; later rounds find them open.
        for _ in range(8):
            await asyncio.gather(*(session.query("READ x") for session in sessions))
        opened = site.group.members["a"].connection_count
        assert opened > 1
        await asyncio.sleep(1.5)
        assert site.group.members["a"].connection_count == opened


async def test_a_primary_that_answers_is_not_suspected():
    """Each due status query counted as unanswered: 12,400 probes in 22 s without any fault."""
    async with line_site.Site(3) as site:
        await asyncio.sleep(2.5)
        assert site.group.members["a"].empty_connections == 0


async def test_a_failed_primary_is_replaced_and_writes_succeed_again():
    """Guards against a group that stays without a primary: the platform promotes none by itself."""
    async with line_site.Site(3) as site:
        client = await site.connect("strict", 1)
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        await asyncio.sleep(0.1)
        await site.group.members["a"].stop()
        await site.wait_until(
            lambda: any(member.is_primary for member in _other_members(site, "a"))
        )
        answer = ["ERR"]
        while not answer[0].startswith("DONE"):
            answer = await client.query("WRITE x 2")
        assert (await client.query("READ x"))[0] == "ROW 2"
        tokens = [request.fencing_token for request in site.platform.promotion_requests]
        assert tokens == sorted(tokens)


def _other_members(site, member):
    return [other for other in site.group.members.values() if other.id != member]


async def test_a_planned_primary_change_loses_no_write():
    """All acknowledged writes have to be at the new primary."""
    async with line_site.Site(2) as site:
        client = await site.connect("strict", 1)
        acknowledged = []
        await site.platform.register_member(site.group.members["a"], "draining")
        for number in range(80):
            if (await client.query(f"WRITE k{number} {number}"))[0].startswith("DONE"):
                acknowledged.append(number)
            if number > 10 and any(member.is_primary for member in _other_members(site, "a")):
                break
            await asyncio.sleep(0.02)
        await site.wait_until(
            lambda: any(member.is_primary for member in _other_members(site, "a"))
        )
        await asyncio.sleep(0.2)
        lost = [
            number
            for number in acknowledged
            if (await client.query(f"READ k{number}"))[0] != f"ROW {number}"
        ]
        assert acknowledged and not lost
        assert all(count == 1 for count in site.group.commit_counts.values())


async def test_the_next_instance_acquires_the_coordinator_lease_with_a_higher_token():
    """With an unchanged token two coordinators could request promotions."""
    async with line_site.Site(2) as site:
        await site.wait_until(lambda: site.platform.object_names("bilberrystack-duties"))
        first = site.platform.get("bilberrystack-duties", "promotion")
        number = next(
            index
            for index, settings in enumerate(site.settings)
            if settings.name == first["holder"]["name"]
        )
        site.instances[number].request_stop()
        await site.wait_until_stopped(number)
        await site.wait_until(lambda: _coordinator_name(site) not in ("", first["holder"]["name"]))
        assert site.platform.get("bilberrystack-duties", "promotion")["token"] > first["token"]


def _coordinator_name(site):
    coordinator = site.platform.get("bilberrystack-duties", "promotion")["holder"]
    return "" if coordinator is None else coordinator["name"]


async def test_a_stop_does_not_cut_off_a_session_that_has_just_set_a_value():
    """The next statement of such a session was on its way and was cut off, 867 times in one day."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("SET zone a")
        site.instances[0].request_stop()
        await asyncio.sleep(0.1)
        assert (await client.query("READ x"))[0] == "ROW -"
        assert await client.read_answer() == []


async def test_a_stop_lets_a_transaction_end():
    """A planned stop must not cut off a transaction that is in progress."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        site.instances[0].request_stop()
        await asyncio.sleep(0.3)
        assert (await client.query("COMMIT"))[0].startswith("DONE proof")
        assert await client.read_answer() == []
        await site.wait_until_stopped()


async def test_a_session_before_the_first_configuration_waits():
    """A new instance must not reject a database whose configuration it has not read yet."""
    async with line_site.Site(0) as site:
        site.platform.calls_to_refuse = 10
        site.start_instance("late")
        await asyncio.sleep(0.1)
        client = await site.open_connection()
        assert await client.send("START strict tester") == ["READY I -"]


async def test_an_unknown_database_is_rejected():
    """A client must not wait for a database that does not exist."""
    async with line_site.Site() as site:
        client = await site.open_connection()
        assert (await client.send("START nothing tester"))[0].startswith("ERR NODB")


async def test_a_configuration_applies_to_open_sessions():
    """A removed route must not be served, a new one must, and an older version has no effect."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        added = [platform_server.route("new", line_site.SERVICE, "primary")]
        await site.platform.declare_configuration(7, added)
        await site.wait_until(lambda: site.instances[0].configuration.version == 7)
        assert (await client.query("READ x"))[0].startswith("ERR NODB")
        await (await site.connect("new")).query("READ x")
        await site.platform.declare_configuration(3, line_site.ROUTES)
        await asyncio.sleep(0.2)
        assert site.instances[0].configuration.version == 7


async def test_objects_are_listed_again_when_the_watched_revision_is_gone():
    """A watch that stays at a revision outside the store's history never reports a change."""
    async with line_site.Site() as site:
        site.platform.drop_history()
        await site.platform.declare_configuration(9, line_site.ROUTES)
        await site.wait_until(lambda: site.instances[0].configuration.version == 9)


async def test_malformed_member_records_are_ignored():
    """A malformed record of one member must not take other members out of use."""
    async with line_site.Site() as site:
        for number, spec in enumerate([7, {"service": 1}, {"service": line_site.SERVICE}]):
            await site.platform.put("servers", f"bad-{number}", spec)
        client = await site.connect("aged")
        assert (await client.query("READ x"))[0] == "ROW -"


@pytest.mark.parametrize(
    "line", ["HELLO", "QUERY a", "START strict tester", "QUERY", "\x00\x01", "x" * 1_100_000]
)
async def test_a_malformed_line_ends_only_its_own_connection(line):
    """Input of one client must not end the process or the session of another client."""
    async with line_site.Site() as site:
        other_client = await site.connect("strict")
        malformed = await site.connect("strict")
        answer = await malformed.send(line)
        assert answer[0].startswith(("ERR BAD", "ERR TOOBIG"))
        assert await malformed.read_answer() == []
        assert (await other_client.query("READ x"))[0] == "ROW -"


async def test_a_long_request_id_leaves_the_log_to_others():
    """Guards against one request that fills the buffer of the log output."""
    records = []
    handler_id = loguru.logger.add(lambda message: records.append(message.record["extra"]))
    try:
        async with line_site.Site() as site:
            client = await site.connect("strict")
            request_id = "i" * 50_000
            assert (await client.query("READ x", request_id))[1] == f"DONE proof-a-{request_id}"
    finally:
        loguru.logger.remove(handler_id)
    logged_ids = [extra["id"] for extra in records if "database" in extra]
    assert logged_ids == ["i" * session.MAX_LOGGED_ID_CHARACTERS]


async def test_an_incomplete_line_blocks_only_its_own_connection():
    """A client that stops inside a line must not hold anything but its connection."""
    async with line_site.Site() as site:
        incomplete = await site.connect("strict")
        incomplete.writer.write(b"QUERY a WRI")
        assert (await (await site.connect("strict")).query("READ x"))[0] == "ROW -"
        incomplete.close()
        assert site.group.commit_counts.total() == 0


async def test_statements_run_on_a_connection_through_a_relay():
    """An instance that cannot reach a primary that others reach needs no promotion."""
    async with line_site.Site(2) as site:
        first, second = site.instances
        group = first.executor(line_site.SERVICE).group
        await (await site.connect("strict")).query("READ x")
        for member_pool in group.pools.values():
            member_pool.close()
            member_pool.relay_until_s = float("inf")
        group.relay = second.endpoint
        answer = await (await site.connect("strict")).query("WRITE x 1")
        assert answer[0].startswith("DONE proof")


async def test_the_readiness_probe_follows_the_state_of_the_instance():
    """New clients must not be sent before the first configuration or after the request to stop."""
    async with line_site.Site() as site:
        endpoint = site.settings[0].readiness_endpoint
        assert await _probe(endpoint) == 200
        site.instances[0].request_stop()
        await site.wait_until(lambda: site.instances[0].stopping)
        assert await _probe(endpoint) == 503


async def test_metrics_show_requests_and_their_outcomes():
    """Operators trace a failed request from its id to its cause."""
    async with line_site.Site() as site:
        await (await site.connect("strict")).query("READ x")
        endpoint = site.settings[0].metrics_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        page = (await reader.read()).decode()
        writer.close()
        assert 'bilberrystack_requests_total{kind="read",outcome="done"} 1' in page
        assert "bilberrystack_request_seconds_bucket" in page


async def _probe(endpoint):
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


async def test_the_boot_clock_counts():
    """The ages of positions are computed from this clock."""
    assert instance.boot_clock() > 0
