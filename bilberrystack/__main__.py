"""Runs the command line with `python -m bilberrystack`."""

from bilberrystack.cli import main

if __name__ == "__main__":
    main.main()
