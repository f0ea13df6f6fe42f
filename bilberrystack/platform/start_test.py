"""Tests that the serving process starts fast and reports invalid settings without a traceback."""

import os
import pathlib
import subprocess
import sys

from bilberrystack.platform import settings_file

ROOT = pathlib.Path(__file__).parents[2]

# An instance has to be ready after 0.5 s of CPU time, nearly all of which the imports take.
MAX_IMPORT_CPU_S = 0.5

# Limit for the peak memory of the process after the imports, in MiB.
MAX_IMPORT_MEMORY_MB = 40

_MEASURE_IMPORTS = """
import sys, time
start_cpu_s = time.process_time()
from bilberrystack.platform import __main__, serving
heavy = {"aiohttp", "thrift", "cyclopts", "rich", "bilberrystack.cli", "bilberrystack.gen"}
print(sorted(heavy & set(sys.modules)))
print(time.process_time() - start_cpu_s)
status = dict(line.split(":", 1) for line in open("/proc/self/status"))
print(int(status["VmHWM"].split()[0]) / 1024)
"""


def _measure_imports():
    completed = subprocess.run(
        [sys.executable, "-c", _MEASURE_IMPORTS],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    heavy_modules, cpu_s, memory_mb = completed.stdout.split("\n")[:3]
    return heavy_modules, float(cpu_s), float(memory_mb)


def test_command_line_and_generated_code_are_not_imported():
    """Each additional module makes every restart slower."""
    heavy_modules, _, memory_mb = _measure_imports()
    assert heavy_modules == "[]"
    assert memory_mb <= MAX_IMPORT_MEMORY_MB


def test_cpu_time_of_the_imports_is_limited():
    """All clients of an instance wait while it starts. The fastest of five starts counts."""
    assert min(_measure_imports()[1] for _ in range(5)) <= MAX_IMPORT_CPU_S


_RELOAD_DURING_START = """
import signal, sys
from bilberrystack.platform import __main__
print("uvloop" in sys.modules)
__main__.main()
print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
"""


def test_reload_during_the_start_does_not_end_the_process():
    """A settings file that changed during a rolling restart ended an instance that was starting.

    SIGHUP has to be ignored before the slow imports, such as uvloop, begin.
    """
    environment = {
        name: value for name, value in os.environ.items() if name != settings_file.PATH_VARIABLE
    }
    completed = subprocess.run(
        [sys.executable, "-c", _RELOAD_DURING_START],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.split() == ["False", "True"]


def test_each_settings_problem_is_reported_on_one_line(tmp_path):
    """The lines show an operator what to change; the exit code shows that the start failed."""
    path = tmp_path / "local.json"
    path.write_text('{"node_name": "a"}')
    environment = os.environ | {settings_file.PATH_VARIABLE: str(path)}
    completed = subprocess.run(
        [sys.executable, "-m", "bilberrystack.platform"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr
    assert {line.split(":")[1].strip() for line in completed.stderr.splitlines()} == {
        *("ip", "zone", "listen", "internal_ports", "platform", "cloud")
    }
