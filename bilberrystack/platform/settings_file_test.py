"""Guards against a process that starts with settings that it has misunderstood."""

import json

from returns import result

from bilberrystack.platform import settings_file
from bilberrystack.routing import model

GOOD = {
    "node_name": "front-a-1",
    "ip": "10.1.0.8",
    "zone": "a",
    "listen": {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
    "internal_ports": [7440, 7455],
    "bounds": {"grace_s": 6, "unknown": 1},
    "platform": {"address": "10.200.1.7:8783", "form": "objects"},
    "cloud": {"address": "10.200.0.160:8783"},
    "field_of_tomorrow": [],
}


def _problems(**changes):
    content = {name: one for name, one in (GOOD | changes).items() if one is not None}
    match settings_file.parse(json.dumps(content).encode()):
        case result.Failure(found):
            return found.problems
    return ()


def test_reads_what_it_needs_and_ignores_the_rest():
    """New fields may come at any time."""
    loaded = settings_file.parse(json.dumps(GOOD).encode()).unwrap()
    assert loaded.name == "front-a-1"
    assert loaded.sessions_endpoint == model.Endpoint("10.1.0.8", 8784)
    assert loaded.peers_endpoint == model.Endpoint("10.1.0.8", 7440)
    assert loaded.grace_s == 6


def test_names_all_problems_at_once():
    """One problem for each restart would take an operator many tries."""
    problems = _problems(node_name=None, zone=7, platform=None)
    assert [one.split(":")[0] for one in problems] == ["node_name", "zone", "platform"]


def test_checks_values_too():
    """An address that can't be used would show only later, as a failed call."""
    problems = _problems(cloud={"address": "nowhere"}, internal_ports=[7440], bounds={"grace_s": 0})
    assert [one.split(":")[0] for one in problems] == [
        "cloud.address",
        "internal_ports",
        "bounds.grace_s",
    ]


def test_a_file_that_is_no_json_is_a_problem():
    """A traceback would not tell an operator what to do."""
    assert isinstance(settings_file.parse(b"{"), result.Failure)
    assert isinstance(settings_file.parse(b"[]"), result.Failure)
