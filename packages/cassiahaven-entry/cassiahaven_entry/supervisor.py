"""Tasks that are restarted after an unhandled exception."""

from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from cassiahaven_entry.clock import MS_PER_S
from cassiahaven_entry.event import LogEvent, log

RESTART_DELAY_MS = 500.0


def spawn_supervised(name: str, run: Callable[[], None]) -> GreenThread:
    """Start a task; after an exception, log the error and restart the task.

    Args:
        name: Name of the task in the log.
        run: The task. It is not restarted after it returns normally.
    """
    return eventlet.spawn(_supervise, name, run)


def _supervise(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            run()
            return
        except Exception as error:
            log(LogEvent.TASK_FAILED, task=name, error=repr(error))
            eventlet.sleep(RESTART_DELAY_MS / MS_PER_S)
