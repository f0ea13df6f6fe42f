"""Builds the serving process below target/: libraries, and the package with compiled bytecode."""

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"

# What the serving process never imports.
LEFT_OUT = shutil.ignore_patterns(
    "*_test.py", "__pycache__", "cli", "gen", "proxy", "client", "wire"
)

MAIN = '''"""Runs the serving process."""

import sys

from bilberrystack.platform import __main__ as start

sys.exit(start.main())
'''


def install_libraries() -> None:
    """Installs the pinned libraries, unless the last build has installed the same ones."""
    installed = TARGET / "deps" / "installed.txt"
    wanted = REQUIREMENTS.read_text()
    if installed.exists() and installed.read_text() == wanted:
        return
    folder = TARGET / "deps"
    shutil.rmtree(folder, ignore_errors=True)
    subprocess.run(
        [
            sys.executable,
            *("-m", "pip", "install", "--quiet", "--disable-pip-version-check", "--no-deps"),
            *("--target", str(folder), "--requirement", str(REQUIREMENTS)),
        ],
        check=True,
    )
    compileall.compile_dir(folder, quiet=1)
    installed.write_text(wanted)


def copy_package() -> None:
    """Copies the package and compiles it."""
    app = TARGET / "app"
    shutil.rmtree(app, ignore_errors=True)
    shutil.copytree(ROOT / "bilberrystack", app / "bilberrystack", ignore=LEFT_OUT)
    (app / "__main__.py").write_text(MAIN)
    if not compileall.compile_dir(app, quiet=1):
        raise SystemExit("a module of the package can't be compiled")


if __name__ == "__main__":
    install_libraries()
    copy_package()
