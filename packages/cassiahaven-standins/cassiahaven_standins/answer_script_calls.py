"""Process that makes the calls of scripts through the HTTP transport, under the eventlet hub.

It reads one batch of scripts as JSON from each line of its input, and writes the results likewise.
Run it with another Python environment to try another version of the transport.
"""

import json
import sys
from functools import partial
from hashlib import sha256
from typing import Any

import eventlet

eventlet.monkey_patch()

from cassiahaven_core.edge import SendFailed, TransferBroken, UpstreamRequest
from cassiahaven_core.pool import EndpointAddress, ProbeFailed
from cassiahaven_entry.http_transport import HttpTransport
from cassiahaven_platform.dialects import PlatformUpstreams

CONCURRENT_SCRIPTS = 32


def make_calls(transport: HttpTransport, port: int, calls: list[dict[str, Any]]) -> list[Any]:
    """Make the calls of one script in turn, to an endpoint of its own; return their results."""
    address = EndpointAddress(calls[0]["id"], "1", "z", "127.0.0.1", port, 1)
    results = []
    for call in calls:
        eventlet.sleep(call["pause_s"])
        results.append(_make_call(transport, address, call))
    return results


def _make_call(transport: HttpTransport, address: EndpointAddress, call: dict[str, Any]) -> Any:
    timeout_ms = call["timeout_ms"]
    if call["is_probe"]:
        report = transport.probe(address, f"/{call['id']}", timeout_ms)
        return None if isinstance(report, ProbeFailed) else report.running
    request = UpstreamRequest(
        call["method"],
        f"/{call['id']}",
        (("Request-Id", call["id"]),),
        b"b" * call["body_bytes"],
        call["is_idempotent"],
        call["id"],
    )
    sent = transport.send(address, request, timeout_ms)
    if isinstance(sent, SendFailed):
        return None
    try:
        body = b"".join(sent.body)
    except TransferBroken:
        return None
    return [sent.status, len(body), sha256(body).hexdigest()]


def main() -> None:
    """Make the calls of each batch that is read."""
    for line in sys.stdin:
        batch = json.loads(line)
        calls = partial(make_calls, HttpTransport(PlatformUpstreams()), batch["port"])
        results = list(eventlet.GreenPool(CONCURRENT_SCRIPTS).imap(calls, batch["scripts"]))
        print(json.dumps(results), flush=True)


if __name__ == "__main__":
    main()
