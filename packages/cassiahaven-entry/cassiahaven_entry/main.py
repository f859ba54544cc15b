"""The command ``cassiahaven-entry``."""

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import signal
import sys
from pathlib import Path

import eliot
import fire
from eventlet.event import Event

from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.settings import Settings
from cassiahaven_core.settings_reader import read_settings
from cassiahaven_entry.header_dialect import HeaderDialect
from cassiahaven_entry.http_probe import HttpProbe
from cassiahaven_entry.http_store import HttpObjectStore
from cassiahaven_entry.http_vm_list import HttpVmList
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.node import Node, running
from cassiahaven_entry.operator_api import OperatorApi

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def run_entry(*, settings: str, check: bool = False) -> None:
    """Run an entry process or only validate its settings.

    Args:
        settings: Path of the settings file.
        check: Validate the settings and exit.
    """
    try:
        checked = read_settings(Path(str(settings)))
    except InvalidDocument as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        print(f"{settings}: valid")
        return
    _open_log(checked)
    try:
        node, api = _build(checked)
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None if stop.ready() else stop.send())
    with running(node):
        eventlet.spawn(api.run)
        stop.wait()
        node.stop()


def main() -> None:
    """Run the command."""
    fire.Fire(run_entry, name="cassiahaven-entry")


def _open_log(settings: Settings) -> None:
    name = settings.entry.log_file
    eliot.to_file(open(name, "a", encoding="utf-8") if name else sys.stderr)  # noqa: SIM115


def _build(settings: Settings) -> tuple[Node, OperatorApi]:
    metrics = Metrics()
    node = Node(
        settings,
        HttpObjectStore(settings.platform.store, metrics),
        HttpVmList(settings.platform.vm_list),
        HeaderDialect(),
        HttpProbe(),
        metrics,
    )
    return node, OperatorApi(node)


if __name__ == "__main__":
    main()
