"""Entry point of the ``cassiahaven`` command."""

import sys

import fire

from cassiahaven_cli.client import Client
from cassiahaven_cli.commands import Commands
from cassiahaven_cli.failure import CommandFailed


def main() -> None:
    """Run the command; report a failure on standard error and in the exit code."""
    try:
        fire.Fire(Commands(Client.from_environment()), name="cassiahaven")
    except CommandFailed as error:
        print(f"cassiahaven: {error.message}", file=sys.stderr)
        sys.exit(error.code)


if __name__ == "__main__":
    main()
