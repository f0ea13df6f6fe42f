"""Entry point for `python -m bilberrystack`."""

from bilberrystack.cli import main

if __name__ == "__main__":
    main.main()
