"""Tests of the operators' commands against real processes."""

import asyncio
import urllib.request

import msgspec
import pytest

from system import proxies
from system import site

MEMBERS = [
    f"--member={name},127.0.0.9:{7000 + index},addis-bole,16,2" for index, name in enumerate("abc")
]


async def refused(address, *arguments):
    with pytest.raises(proxies.CommandFailed) as raised:
        await proxies.operate(address, *arguments)
    return raised.value.code


async def all_accept(address):
    """Tells whether every instance has heard from enough others to accept changes."""
    status = msgspec.json.decode(await proxies.operate(address, "status", "--output=json"))
    accepting = [one["accepting"] for one in status["instances"]]
    return len(accepting) == 3 and all(accepting)


def scrape(address):
    with urllib.request.urlopen(f"http://{address}/metrics") as answer:
        return answer.read().decode()


def test_commands_declare_show_and_survive_a_store_outage(tmp_path):
    """Guards against commands that work in parts but not with the processes they are for."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            ready = next(iter(where.proxies.values())).ready
            operate = proxies.operate
            while not await all_accept(ready.operators):
                await asyncio.sleep(0.1)
            add = ("group", "add", "reports", *MEMBERS, "--output=json")
            trial = msgspec.json.decode(await operate(ready.operators, *add, "--dry-run"))
            assert [one["field"] for one in trial["differences"]] == ["groups.reports"]
            first = await operate(ready.operators, *add, "--operation-id=op", "--wait-s=60")
            first = msgspec.json.decode(first)
            assert (first["in_force"], first["instances"]) == (3, 3)
            again = await operate(ready.operators, *add, "--operation-id=op")
            assert msgspec.json.decode(again)["version"] == first["version"]
            assert await refused(ready.operators, *add) == 3
            await operate(ready.operators, "caller", "grant", site.CALLER, "reports")
            assert await refused(ready.operators, "group", "remove", "reports") == 3
            shown = await operate(ready.operators, "config", "show")
            (tmp_path / "shown.json").write_text(shown)
            same = await operate(
                ready.operators, "config", "diff", str(tmp_path / "shown.json"), "--output=json"
            )
            assert msgspec.json.decode(same) == []
            await where.store.kill()
            status = msgspec.json.decode(await operate(ready.operators, "status", "--output=json"))
            assert [one["state"] for one in status["instances"]] == ["serving"] * 3
            primaries = {one["group"]: one["report"]["primary"] for one in status["groups"]}
            assert primaries[site.GROUP] in "abc" and primaries["reports"] is None
            assert await refused(ready.operators, "group", "remove", "reports") == 3
            page = tmp_path / "burn.html"
            assert "replica" in await operate(ready.operators, "report", "burn", f"--html={page}")
            assert "<svg" in page.read_text() or "No data" in page.read_text()
            exported = await asyncio.to_thread(scrape, ready.metrics)
            assert "bilberrystack_configuration_version" in exported
            assert 'bilberrystack_store_calls_total{kind="put",result="ok"}' in exported

    asyncio.run(run())


def test_unreachable_instance_has_its_own_exit_code(tmp_path):
    """Guards against scripts that take a lost instance for a refused change."""
    assert asyncio.run(refused("127.0.0.1:1", "status")) == 4
