"""Runs an entry with a platform adapter."""

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import signal
import sys
from importlib import import_module

from eventlet.event import Event

from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.routed_settings import SocketAddress
from cassiahaven_entry.auxiliary_server import AuxiliaryServer
from cassiahaven_entry.log_stream import LogStream
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.routed_node import RoutedNode, running
from cassiahaven_entry.routed_operators import RoutedOperatorApi

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def run_routed(adapter_module: str) -> None:
    """Run an entry until it receives a stop signal.

    Args:
        adapter_module: Name of the module whose ``make_adapter`` returns the platform's adapter.
    """
    adapter = import_module(adapter_module).make_adapter()
    try:
        settings = adapter.read_settings()
    except InvalidDocument as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None if stop.ready() else stop.send())
    stream = LogStream()
    stream.open()
    try:
        node = RoutedNode(settings, adapter, Metrics())
        host, _, port = node.member.operators.rpartition(":")
        operator_address = SocketAddress(host, int(port))
        node.auxiliary_servers.append(
            AuxiliaryServer(operator_address, RoutedOperatorApi(node).answer)
        )
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(node.reload))
    eventlet.spawn(stream.run)
    with running(node):
        stop.wait()
        node.stop()
    stream.flush()


if __name__ == "__main__":
    run_routed(sys.argv[1])
