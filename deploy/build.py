"""Builds the serving process in target/: the libraries and the package, with compiled bytecode."""

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"

# Files and folders that the serving process never imports.
IGNORE_UNUSED_FILES = shutil.ignore_patterns(
    "*_test.py", "__pycache__", "cli", "gen", "proxy", "client", "wire"
)

MAIN = '''"""Runs the serving process."""

import sys

from bilberrystack.platform import __main__ as start

sys.exit(start.main())
'''


def install_libraries() -> None:
    """Installs the pinned libraries, unless an earlier build installed the same versions."""
    installed_file = TARGET / "deps" / "installed.txt"
    requirements = REQUIREMENTS.read_text()
    if installed_file.exists() and installed_file.read_text() == requirements:
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
    installed_file.write_text(requirements)


def copy_package() -> None:
    """Copies the package without unused files, adds __main__.py and compiles all modules.

    Raises:
      SystemExit: A module could not be compiled.
    """
    app = TARGET / "app"
    shutil.rmtree(app, ignore_errors=True)
    shutil.copytree(ROOT / "bilberrystack", app / "bilberrystack", ignore=IGNORE_UNUSED_FILES)
    (app / "__main__.py").write_text(MAIN)
    if not compileall.compile_dir(app, quiet=1):
        raise SystemExit("build failed: a module of the package could not be compiled")


if __name__ == "__main__":
    install_libraries()
    copy_package()
