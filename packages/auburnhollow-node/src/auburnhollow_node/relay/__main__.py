"""Run a relay node: ``python -m auburnhollow_node.relay SETTINGS``."""

import gc
import signal
import sys

from auburnhollow.exceptions import SettingsError

from .settings import load_settings
from .sockets import Sockets

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def main():
    """Load the settings, open the sockets and run the node."""
    # By default SIGHUP ends the process; ignore it until the node can reload its settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) != 2:
        sys.exit("usage: python -m auburnhollow_node.relay SETTINGS")
    path = sys.argv[1]
    try:
        settings = load_settings(path)
        sockets = Sockets(settings)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{path}: {finding}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except OSError as error:
        print(f"{path}: an address can't be listened on: {error}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS)
    # Objects created by the imports are never garbage.
    gc.disable()
    from .main import run

    run(settings, path, sockets)


if __name__ == "__main__":
    main()
