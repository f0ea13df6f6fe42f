"""Runs the command line with `python -m bilberrystack`."""

import sys

from returns import result

from bilberrystack import settings
from bilberrystack.proxy import process


def main() -> None:
    """Runs an instance with the settings of the environment."""
    match settings.load(settings.Settings):
        case result.Success(checked):
            sys.exit(process.run(checked))
        case result.Failure(problems):
            sys.exit("\n".join(str(problem) for problem in problems))


if __name__ == "__main__":
    main()
