"""The ``auburnhollow`` program.

Exit codes: 0 success; 1 the store or the nodes do not answer; 2 the configuration or the command
is not valid; 3 another operator's change came first; 4 accepted, but not confirmed by every live
node.
"""

import sys

import fire

from auburnhollow.exceptions import (
    AuburnhollowError,
    ConfigurationError,
    ConflictError,
)

from . import formatting
from .commands import Commands, FoundInCheck, NotInForce

EXIT_UNREACHABLE = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4


def report(error):
    """Print an expected error and return its exit code."""
    if isinstance(error, ConfigurationError):
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    if isinstance(error, FoundInCheck):
        print(error, file=sys.stderr)
        return EXIT_FINDINGS
    if isinstance(error, ConflictError):
        print(f"another change came first: {error}", file=sys.stderr)
        if error.current is not None:
            print(formatting.format_revision(error.current), file=sys.stderr)
            print("inspect it with 'diff', then apply again", file=sys.stderr)
        return EXIT_CONFLICT
    if isinstance(error, NotInForce):
        print(error, file=sys.stderr)
        return EXIT_NOT_IN_FORCE
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    return EXIT_UNREACHABLE


def main():
    """Run the program."""
    arguments = sys.argv[1:]
    if arguments in (["--help"], ["-h"], ["help"]):
        # Without arguments, fire lists the commands; with --help it lists only the flags.
        arguments = []
    try:
        fire.Fire(Commands, command=arguments, name="auburnhollow")
    except AuburnhollowError as error:
        sys.exit(report(error))
    except KeyboardInterrupt:
        sys.exit(130)
