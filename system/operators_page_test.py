"""Runs the commands that docs/operators.md shows against real processes."""

import asyncio
import hashlib
import json
import os
import pathlib
import re
import shlex

from bilberrystack import client
from bilberrystack import settings
from bilberrystack_standins import statements
from system import proxies
from system import site

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "operators.md"

# Commands of the page that are not run through Commands.run, with the reason.
RUN_ELSEWHERE = {"run": "system/proxies.py starts the instances of the site with it"}

# The page also names commands without the program.
COMMAND_GROUPS = ("group", "caller", "config", "report")

# The second group's members need no processes, since no statement is sent to them.
OTHER_MEMBERS = [f"{name},127.0.0.9:{7000 + index}" for index, name in enumerate("abc")]


def shown_commands(text):
    """Returns the commands in the page's blocks and code spans, without the program's name."""
    text = re.sub(r"\\\n\s*", "", text)
    lines = [line.strip() for line in text.splitlines() if line.startswith("    ")]
    spans = [" ".join(span.split()) for span in re.findall(r"`([^`]+)`", text)]
    found = []
    for one in [*lines, *spans]:
        program, _, rest = one.partition(" ")
        if program == "bilberrystack" and rest:
            found.append(rest)
        elif (program in COMMAND_GROUPS and rest) or one == "status":
            found.append(one)
    return list(dict.fromkeys(found))


def exported_variables(text):
    """Returns the variables that the page says to set."""
    return re.findall(r"^    export (\w+)=", text, re.MULTILINE)


class Commands:
    """Runs the page's commands with values of the running site in place of the page's."""

    def __init__(self, text, values, environment):
        self.values = values
        self._left = dict.fromkeys(shown_commands(text))
        self._shown = tuple(self._left)
        self._environment = environment

    @property
    def left(self):
        """The commands that were not run."""
        return set(self._left)

    async def run(self, start, *more, expect=0):
        """Runs the one command that begins with some words; returns its output and its notes."""
        exact = [one for one in self._shown if one == start]
        (command,) = exact or [one for one in self._shown if one.startswith(start)]
        self._left.pop(command, None)
        words, _, file = command.partition(" > ")
        arguments = [self._replaced(word) for word in shlex.split(words, comments=True)]
        code, output, notes = await execute([*arguments, *more], self._environment)
        assert code == expect, (command, code, output, notes)
        if file:
            write_file(self.values[file], output)
        return output, notes

    def _replaced(self, word):
        return ",".join(self.values.get(part, part) for part in word.split(","))


async def execute(arguments, environment):
    """Runs the product; returns the exit code, standard output and standard error."""
    child = await asyncio.create_subprocess_exec(
        *proxies.program(),
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, notes = await child.communicate()
    return child.returncode, output.decode(), notes.decode()


async def wait_for_status(commands, holds):
    """Runs `status` until its JSON fulfils a condition."""
    while True:
        output, _ = await commands.run("status", "--output=json")
        if holds(json.loads(output)):
            return


def every_instance(field, value):
    def holds(status):
        found = [one[field] for one in status["instances"]]
        return len(found) == 3 and all(one == value for one in found)

    return holds


def has_primary(status):
    return any(one["report"]["primary"] for one in status["groups"])


def page_environment(text, folder, address):
    """Returns an environment with the variables that the page exports."""
    values = {
        "BILBERRYSTACK_OPERATOR_ADDRESS": address,
        "BILBERRYSTACK_OPERATOR_SECRET": proxies.OPERATOR_SECRET,
        "BILBERRYSTACK_OPERATOR_NAME": "sara",
    }
    exported = {name: values[name] for name in exported_variables(text)}
    # Shell completion is installed below the home directory, which must not be the user's.
    return {**os.environ, **exported, "HOME": str(folder), "SHELL": "/bin/bash"}


async def write_as_caller(where, secret):
    async with client.connect(where.caller_addresses, "enumerator", secret) as connected:
        session = await connected.open_session(timeout_s=60)
        body = statements.put("day", 1)
        return await session.write("diary-store-1", body, timeout_s=60)


async def first_group(where, commands):
    """Runs "Declare the first group"; returns the caller's secret."""
    await commands.run("group add diary-store-1 ")
    _, notes = await commands.run("caller add enumerator --group")
    (secret,) = re.findall(r"^secret (\S+)$", notes, re.MULTILINE)
    await wait_for_status(commands, has_primary)
    await wait_for_status(commands, every_instance("state", "serving"))
    assert isinstance(await write_as_caller(where, secret), client.Answer)
    return secret


def write_file(path, text):
    pathlib.Path(path).write_text(text)


def add_group(source, target):
    """Writes a document with one more group than another document."""
    document = json.loads(pathlib.Path(source).read_text())
    other = json.loads(json.dumps(document["groups"][0]))
    other["name"] = "reports"
    for member, text in zip(other["members"], OTHER_MEMBERS, strict=True):
        member["name"], member["address"] = text.split(",")
    document["groups"].append(other)
    write_file(target, json.dumps(document))


async def change_something(commands, members):
    """Runs "Change something", first with the whole document, then declaration by declaration."""
    _, notes = await commands.run("config show")
    commands.values["N"] = re.findall(r"version (\d+)", notes)[0]
    add_group(commands.values["now.json"], commands.values["new.json"])
    difference, _ = await commands.run("config diff")
    assert "groups.reports" in difference
    accepted, _ = await commands.run("config apply")
    await commands.run("config apply", expect=3)
    commands.values["N"] = re.findall(r"accepted as version (\d+)", accepted)[0]
    await commands.run("config wait N")
    await commands.run("group add --replace", "diary-store-1", *members, "--default-max-age-ms=9")
    await commands.run("caller grant", "enumerator", "reports")
    await commands.run("group remove", "reports", expect=3)
    await commands.run("caller revoke", "enumerator", "reports")
    removed, _ = await commands.run("group remove", "reports")
    await commands.run("config wait", re.findall(r"accepted as version (\d+)", removed)[0])


async def change_secret(where, commands, old):
    """Changes the caller's secret as the page says and shows that both are accepted."""
    new = "new-secret-of-an-enumerator"
    for name, secret in (("OLD", old), ("NEW", new)):
        commands.values[name] = hashlib.sha256(secret.encode()).hexdigest()
    await commands.run("caller add enumerator --replace", "--wait-s=60")
    for secret in (old, new):
        assert isinstance(await write_as_caller(where, secret), client.Answer)
    digest = commands.values["NEW"]
    await commands.run(
        "caller add --replace", "enumerator", f"--secret-sha256={digest}", "--group=diary-store-1"
    )


async def replace_instance(where, commands, name):
    """Runs "Upgrade" for one instance."""
    assert await where.proxies[name].stop() == 0
    await where.start_proxy(name)
    await where.publish_list()
    await wait_for_status(commands, every_instance("state", "serving"))


def page_values(where, folder):
    """Returns what stands in place of the page's addresses, files and numbers."""
    addresses = [one.address for _, one in sorted(where.standins.members.items())]
    values = {f"10.0.{number}.1:7001": address for number, address in enumerate(addresses)}
    return values | {name: str(folder / name) for name in ("now.json", "new.json")}


def member_flags(where):
    """Returns the flags that declare the members of the site."""
    members = sorted(where.standins.members.items())
    return [
        f"--member={name},{member.address},{domain},16,2"
        for (name, member), domain in zip(members, site.DOMAINS, strict=True)
    ]


def test_commands_of_the_page_work(tmp_path):
    """Guards against a page whose commands the program refuses or does not know."""
    text = PAGE.read_text()
    known = {one.variable for one in settings.definitions(settings.ClientSettings)}
    assert set(exported_variables(text)) <= known

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start_undeclared()
            address = where.proxies["p0"].ready.operators
            environment = page_environment(text, tmp_path, address)
            commands = Commands(text, page_values(where, tmp_path), environment)
            await commands.run("--install-completion")
            await wait_for_status(commands, every_instance("accepting", True))
            old = await first_group(where, commands)
            await change_something(commands, member_flags(where))
            await change_secret(where, commands, old)
            await replace_instance(where, commands, "p2")
            await commands.run("report burn", f"--html={tmp_path / 'burn.html'}")
            assert (tmp_path / "burn.html").exists()
            await commands.run("caller add", "analyst")
            await commands.run("caller remove", "enumerator")
            await where.store.kill()
            output, notes = await commands.run("group remove", "diary-store-1", expect=3)
            assert "store" in output + notes
            assert commands.left == RUN_ELSEWHERE.keys()

    asyncio.run(run())


def test_run_without_settings_prints_all_problems():
    """Guards against a start that names one missing setting at a time, unlike the page."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(settings.PREFIX)
    }
    code, output, notes = asyncio.run(execute(["run"], environment))
    required = [one for one in settings.definitions(settings.Settings) if one.default is None]
    assert code == 2
    assert all(one.variable in output + notes for one in required)


def test_a_wrong_command_is_found(tmp_path):
    """Guards against a check that passes whatever the page says."""
    page = "    bilberrystack group add x \\\n      --members 3\n\nthen `group\nshow`, `a/b`.\n"
    assert shown_commands(page) == ["group add x --members 3", "group show"]
    commands = Commands(page, {}, page_environment(page, tmp_path, ""))
    asyncio.run(commands.run("group add", expect=2))
    assert commands.left == {"group show"}
