"""Command failures and their exit codes."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, explained in ``docs/operations/command-line.md``."""

    FAILED = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNDECIDED = 5
    NOT_FOUND = 6


class CommandFailed(Exception):
    """Raised when a command fails.

    Args:
        message: Text for the operator.
        code: Exit code of the process.
    """

    __slots__ = ("message", "code")

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.message = message
        self.code = code
