"""Tests the operators' commands against real processes."""

import asyncio
import urllib.request

import msgspec
import pytest

from system import proxies
from system import site

MEMBERS = [
    f"--member={name},127.0.0.9:{7000 + index},addis-bole,16,2" for index, name in enumerate("abc")
]


async def exit_code_of_failure(address, *arguments):
    with pytest.raises(proxies.CommandFailed) as raised:
        await proxies.operate(address, *arguments)
    return raised.value.code


async def all_accept(address):
    """Returns whether every instance has contact to enough others to accept changes."""
    status = msgspec.json.decode(await proxies.operate(address, "status", "--output=json"))
    accepting = [instance["accepting"] for instance in status["instances"]]
    return len(accepting) == 3 and all(accepting)


def scrape(address):
    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        return response.read().decode()


def test_commands_declare_show_and_survive_a_store_outage(tmp_path):
    """Guards against commands that pass their unit tests but fail with real processes."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            ready = next(iter(running_site.proxies.values())).ready
            operate = proxies.operate
            while not await all_accept(ready.operators):
                await asyncio.sleep(0.1)
            add_group = ("group", "add", "reports", *MEMBERS, "--output=json")
            dry_run = msgspec.json.decode(await operate(ready.operators, *add_group, "--dry-run"))
            assert [difference["field"] for difference in dry_run["differences"]] == [
                "groups.reports"
            ]
            first = await operate(ready.operators, *add_group, "--operation-id=op", "--wait-s=60")
            first = msgspec.json.decode(first)
            assert (first["in_force"], first["instances"]) == (3, 3)
            repeated = await operate(ready.operators, *add_group, "--operation-id=op")
            assert msgspec.json.decode(repeated)["version"] == first["version"]
            assert await exit_code_of_failure(ready.operators, *add_group) == 3
            await operate(ready.operators, "caller", "grant", site.CALLER, "reports")
            assert await exit_code_of_failure(ready.operators, "group", "remove", "reports") == 3
            document = await operate(ready.operators, "config", "show")
            (tmp_path / "shown.json").write_text(document)
            differences = await operate(
                ready.operators, "config", "diff", str(tmp_path / "shown.json"), "--output=json"
            )
            assert msgspec.json.decode(differences) == []
            await running_site.store.kill()
            status = msgspec.json.decode(await operate(ready.operators, "status", "--output=json"))
            assert [instance["state"] for instance in status["instances"]] == ["serving"] * 3
            primaries = {group["group"]: group["report"]["primary"] for group in status["groups"]}
            assert primaries[site.GROUP] in "abc" and primaries["reports"] is None
            assert await exit_code_of_failure(ready.operators, "group", "remove", "reports") == 3
            page = tmp_path / "burn.html"
            assert "replica" in await operate(ready.operators, "report", "burn", f"--html={page}")
            assert "<svg" in page.read_text() or "No data" in page.read_text()
            exported = await asyncio.to_thread(scrape, ready.metrics)
            assert "bilberrystack_configuration_version" in exported
            assert 'bilberrystack_store_calls_total{kind="put",result="ok"}' in exported

    asyncio.run(run())


def test_unreachable_instance_has_its_own_exit_code(tmp_path):
    """Guards against one exit code for both unreachable instances and rejected changes."""
    assert asyncio.run(exit_code_of_failure("127.0.0.1:1", "status")) == 4
