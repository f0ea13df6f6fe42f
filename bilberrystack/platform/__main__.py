"""Entry point of the serving process of the session mode on the users' platform."""

import signal
import sys


def main() -> int:
    """Serve until the process is asked to stop; return the exit code."""
    # SIGHUP requests a reload of the settings, and its default action ends the process. It is
    # ignored before the imports, which take a while: a settings file that changed during a rolling
    # restart ended an instance that was starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bilberrystack.platform import serving

    return serving.main()


if __name__ == "__main__":
    sys.exit(main())
