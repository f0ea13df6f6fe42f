"""Runs the commands of docs/operators.md against real processes."""

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

# Commands of the page that Commands.run does not run, with the reason.
RUN_ELSEWHERE = {"run": "system/proxies.py starts the instances of the site with it"}

# The page shows commands of these groups also without the program's name.
COMMAND_GROUPS = ("group", "caller", "config", "report")

# Members of the second group. They need no processes, because no statement is sent to them.
OTHER_MEMBERS = [f"{name},127.0.0.9:{7000 + index}" for index, name in enumerate("abc")]


def shown_commands(text):
    """Returns the commands in the page's blocks and code spans, without the program's name."""
    text = re.sub(r"\\\n\s*", "", text)
    lines = [line.strip() for line in text.splitlines() if line.startswith("    ")]
    spans = [" ".join(span.split()) for span in re.findall(r"`([^`]+)`", text)]
    commands = []
    for candidate in [*lines, *spans]:
        program, _, rest = candidate.partition(" ")
        if program == "bilberrystack" and rest:
            commands.append(rest)
        elif (program in COMMAND_GROUPS and rest) or candidate == "status":
            commands.append(candidate)
    return list(dict.fromkeys(commands))


def exported_variables(text):
    """Returns the environment variables that the page exports."""
    return re.findall(r"^    export (\w+)=", text, re.MULTILINE)


class Commands:
    """Runs the page's commands with the values of the running site instead of those on the page."""

    def __init__(self, text, values, environment):
        self.values = values
        self._pending = dict.fromkeys(shown_commands(text))
        self._commands = tuple(self._pending)
        self._environment = environment

    @property
    def not_run(self):
        """Commands of the page that were not run."""
        return set(self._pending)

    async def run(self, prefix, *extra_arguments, expected_code=0):
        """Runs the only command with a prefix, or the command that equals it.

        Args:
          prefix: Start of the command, without the program's name.
          extra_arguments: Arguments to add to those on the page.
          expected_code: Expected exit code.

        Returns:
          The standard output and the standard error.
        """
        exact = [command for command in self._commands if command == prefix]
        (command,) = exact or [command for command in self._commands if command.startswith(prefix)]
        self._pending.pop(command, None)
        words, _, file = command.partition(" > ")
        arguments = [self._replace_values(word) for word in shlex.split(words, comments=True)]
        code, output, errors = await execute([*arguments, *extra_arguments], self._environment)
        assert code == expected_code, (command, code, output, errors)
        if file:
            write_file(self.values[file], output)
        return output, errors

    def _replace_values(self, word):
        return ",".join(self.values.get(part, part) for part in word.split(","))


async def execute(arguments, environment):
    """Runs the product and returns the exit code, standard output and standard error."""
    child = await asyncio.create_subprocess_exec(
        *proxies.program(),
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await child.communicate()
    return child.returncode, output.decode(), errors.decode()


async def wait_for_status(commands, condition):
    """Repeats `status` until its JSON output meets a condition."""
    while True:
        output, _ = await commands.run("status", "--output=json")
        if condition(json.loads(output)):
            return


def every_instance(field, value):
    def condition(status):
        actual = [instance[field] for instance in status["instances"]]
        return len(actual) == 3 and all(actual_value == value for actual_value in actual)

    return condition


def has_primary(status):
    return any(group["report"]["primary"] for group in status["groups"])


def page_environment(text, folder, address):
    """Returns an environment with the variables that the page exports."""
    values = {
        "BILBERRYSTACK_OPERATOR_ADDRESS": address,
        "BILBERRYSTACK_OPERATOR_SECRET": proxies.OPERATOR_SECRET,
        "BILBERRYSTACK_OPERATOR_NAME": "sara",
    }
    exported = {name: values[name] for name in exported_variables(text)}
    # --install-completion writes to the home directory, which must not be that of the user.
    return {**os.environ, **exported, "HOME": str(folder), "SHELL": "/bin/bash"}


async def write_as_caller(running_site, secret):
    async with client.connect(running_site.caller_addresses, "enumerator", secret) as connected:
        session = await connected.open_session(timeout_s=60)
        body = statements.put("day", 1)
        return await session.write("diary-store-1", body, timeout_s=60)


async def declare_first_group(running_site, commands):
    """Runs the section "Declare the first group" and returns the caller's secret."""
    await commands.run("group add diary-store-1 ")
    _, errors = await commands.run("caller add enumerator --group")
    (secret,) = re.findall(r"^secret (\S+)$", errors, re.MULTILINE)
    await wait_for_status(commands, has_primary)
    await wait_for_status(commands, every_instance("state", "serving"))
    assert isinstance(await write_as_caller(running_site, secret), client.Answer)
    return secret


def write_file(path, text):
    pathlib.Path(path).write_text(text)


def add_group(source, target):
    """Copies a document of declarations and adds a group to the copy."""
    document = json.loads(pathlib.Path(source).read_text())
    new_group = json.loads(json.dumps(document["groups"][0]))
    new_group["name"] = "reports"
    for member, text in zip(new_group["members"], OTHER_MEMBERS, strict=True):
        member["name"], member["address"] = text.split(",")
    document["groups"].append(new_group)
    write_file(target, json.dumps(document))


async def change_something(commands, members):
    """Runs the section "Change something", with a whole document and then single declarations."""
    _, errors = await commands.run("config show")
    commands.values["N"] = re.findall(r"version (\d+)", errors)[0]
    add_group(commands.values["now.json"], commands.values["new.json"])
    difference, _ = await commands.run("config diff")
    assert "groups.reports" in difference
    accepted, _ = await commands.run("config apply")
    await commands.run("config apply", expected_code=3)
    commands.values["N"] = re.findall(r"accepted as version (\d+)", accepted)[0]
    await commands.run("config wait N")
    await commands.run("group add --replace", "diary-store-1", *members, "--default-max-age-ms=9")
    await commands.run("caller grant", "enumerator", "reports")
    await commands.run("group remove", "reports", expected_code=3)
    await commands.run("caller revoke", "enumerator", "reports")
    removed, _ = await commands.run("group remove", "reports")
    await commands.run("config wait", re.findall(r"accepted as version (\d+)", removed)[0])


async def change_secret(running_site, commands, old_secret):
    """Changes the caller's secret as on the page and checks that both secrets are accepted."""
    new_secret = "new-secret-of-an-enumerator"
    for name, secret in (("OLD", old_secret), ("NEW", new_secret)):
        commands.values[name] = hashlib.sha256(secret.encode()).hexdigest()
    await commands.run("caller add enumerator --replace", "--wait-s=60")
    for secret in (old_secret, new_secret):
        assert isinstance(await write_as_caller(running_site, secret), client.Answer)
    digest = commands.values["NEW"]
    await commands.run(
        "caller add --replace", "enumerator", f"--secret-sha256={digest}", "--group=diary-store-1"
    )


async def replace_instance(running_site, commands, name):
    """Runs the section "Upgrade" for one instance."""
    assert await running_site.proxies[name].stop() == 0
    await running_site.start_proxy(name)
    await running_site.publish_list()
    await wait_for_status(commands, every_instance("state", "serving"))


def page_values(running_site, folder):
    """Returns the replacements of the page's addresses and files by those of the running site."""
    addresses = [member.address for _, member in sorted(running_site.standins.members.items())]
    values = {f"10.0.{number}.1:7001": address for number, address in enumerate(addresses)}
    return values | {name: str(folder / name) for name in ("now.json", "new.json")}


def member_flags(running_site):
    """Returns the flags that declare the members of the running site."""
    members = sorted(running_site.standins.members.items())
    return [
        f"--member={name},{member.address},{domain},16,2"
        for (name, member), domain in zip(members, site.DOMAINS, strict=True)
    ]


def test_commands_of_the_page_work(tmp_path):
    """Guards against commands on the page that the program does not know or that fail."""
    text = PAGE.read_text()
    known_variables = {
        definition.variable for definition in settings.definitions(settings.ClientSettings)
    }
    assert set(exported_variables(text)) <= known_variables

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start_undeclared()
            address = running_site.proxies["p0"].ready.operators
            environment = page_environment(text, tmp_path, address)
            commands = Commands(text, page_values(running_site, tmp_path), environment)
            await commands.run("--install-completion")
            await wait_for_status(commands, every_instance("accepting", True))
            secret = await declare_first_group(running_site, commands)
            await change_something(commands, member_flags(running_site))
            await change_secret(running_site, commands, secret)
            await replace_instance(running_site, commands, "p2")
            await commands.run("report burn", f"--html={tmp_path / 'burn.html'}")
            assert (tmp_path / "burn.html").exists()
            await commands.run("caller add", "analyst")
            await commands.run("caller remove", "enumerator")
            await running_site.store.kill()
            output, errors = await commands.run("group remove", "diary-store-1", expected_code=3)
            assert "store" in output + errors
            assert commands.not_run == RUN_ELSEWHERE.keys()

    asyncio.run(run())


def test_run_without_settings_prints_all_problems():
    """Guards against a start that reports only the first missing setting; the page promises all."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(settings.PREFIX)
    }
    code, output, errors = asyncio.run(execute(["run"], environment))
    required = [
        definition
        for definition in settings.definitions(settings.Settings)
        if definition.default is None
    ]
    assert code == 2
    assert all(definition.variable in output + errors for definition in required)


def test_a_wrong_command_is_found(tmp_path):
    """Guards against Commands passing although a command on the page fails."""
    page = "    bilberrystack group add x \\\n      --members 3\n\nthen `group\nshow`, `a/b`.\n"
    assert shown_commands(page) == ["group add x --members 3", "group show"]
    commands = Commands(page, {}, page_environment(page, tmp_path, ""))
    asyncio.run(commands.run("group add", expected_code=2))
    assert commands.not_run == {"group show"}
