"""Answer rig: spoils endpoints' answers under faults and compares what callers get, byte by byte.

``python -m cassiahaven_standins.platform_answer_rig --seed 7 --entries 16 --seconds 20`` prints a
JSON line: what endpoints sent, what callers sent and got, the injected faults, and each answer that
looked whole and was not the endpoint's. It exits with status 1 if there was any. Only callers and
endpoints are observed, so ``--entry_python`` may name the interpreter of another version.
"""

import json
import random
import socket
import sys
import tempfile
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from cassiahaven_standins.answer_reader import AnswerReader, ReceivedAnswer
from cassiahaven_standins.pipelining_caller import TIMEOUT_S, PipelinedRequest
from cassiahaven_standins.platform_fleet import Entry, PlatformFleet, platform_fleet
from cassiahaven_standins.platform_mixed_endpoint import (
    MixedEndpoint,
    SentAnswer,
    Spoil,
    mixed_answer,
    mixed_request_body,
    mixed_target,
)
from cassiahaven_standins.platform_soak import Soak

ENTRIES = 16
SERVICE_BY_PREFIX = {"x": "one", "y": "two"}
ENDPOINTS_PER_SERVICE = 4
SPOILED_SHARE = 0.3
CALLERS_PER_ENTRY = 1.5
LEAST_CALLERS = 8
SLOW_CALLERS = 4
SLOW_ANSWER_BYTES = (900_000, 3_000_000)  # buffered by entries, and streamed
SLOW_PAUSE_S = 0.05
SLOW_RECEIVE_BYTES = 32_768  # with larger buffers, an entry would not notice a slow caller
SLOW_CALLS_IN_TURN = 4  # to one entry
MEMORY_LIMIT_MB = 300  # as in the platform's settings files
DEADLINE_MS = 2000
RETRIES = 2
LEAVING_SHARE = 0.05
LEAVING_AFTER_S = (0.0, 0.3)
CALL_GAP_S = 0.02
REGISTRATION_DELAY_S = (0.0, 1.0)
LARGEST_BATCH = 4
ANSWER_BYTES = (0, 1, 10, 100, 1_000, 1_000, 8_192, 65_536, 70_000, 300_000, 3_000_000)
BODY_BYTES = (0, 1, 1_000, 300_000)
CHUNK_BYTES = (7, 1_000, 65_536)
DELAY_STEP_MS = 100
MS_PER_S = 1000
OK = 200
LARGEST_STATUS = 599
SHOWN_VIOLATIONS = 20


@dataclass(slots=True)
class CheckedCall:
    """A request and what its caller got.

    Attributes:
        violation: What is wrong with an answer that looks whole; empty if nothing is.
        got_bytes: Length of the body.
    """

    entry: str
    item: PipelinedRequest
    answer: ReceivedAnswer
    connection: str
    kind: str
    violation: str = ""
    got_bytes: int = 0

    @property
    def is_retry(self) -> bool:
        """Return whether the caller had sent the same request under another id."""
        return self.item.target.split("/")[3] != self.item.request

    @property
    def expected(self) -> bytes:
        """Return the whole body of the request's answer."""
        service = SERVICE_BY_PREFIX[self.item.target.split("/")[2]]
        return mixed_answer(service, self.item.target)

    def check(self) -> None:
        """Compare the answer with the endpoint's, and forget its body."""
        self.violation = self._find_violation()
        self.got_bytes = len(self.answer.body)
        self.answer.body = b""

    def _find_violation(self) -> str:
        answer = self.answer
        if answer.status > LARGEST_STATUS:
            return "invalid status"
        if answer.status != OK or not answer.is_whole:
            return ""
        request = answer.headers.get("request-id")
        signature = answer.headers.get("response-signature")
        expected = self.expected
        if request is not None and self.item.request not in request.split(", "):
            return "not its own"
        if len(answer.body) < len(expected) and expected.startswith(answer.body):
            return "ends early"
        if answer.body != expected:
            return "other bytes"
        is_signed = (request, signature) == (self.item.request, f"sig-{self.item.request}")
        return "" if is_signed else "other headers"


class _Connection:
    """A caller's connection to an entry.

    Attributes:
        is_done: Whether no more requests may be sent over it.
    """

    def __init__(self, entry: Entry, *, pause_s: float = 0.0) -> None:
        self.is_done = False
        self._socket = _connect(entry, receive_bytes=SLOW_RECEIVE_BYTES if pause_s else None)
        self._reader = AnswerReader(self._socket, pause_s=pause_s)

    def exchange(self, batch: list[PipelinedRequest]) -> list[ReceivedAnswer]:
        """Send requests and return their answers, empty ones behind the first broken one."""
        # What was answered before the send failed is read all the same.
        with suppress(OSError):
            self._socket.sendall(b"".join(item.encode(deadline_ms=DEADLINE_MS) for item in batch))
        answers = []
        for _ in batch:
            answers.append(self._reader.read())
            closes = answers[-1].headers.get("connection", "").lower() == "close"
            if closes or not answers[-1].is_whole:
                self.is_done = True
                break
        return answers + [ReceivedAnswer() for _ in range(len(batch) - len(answers))]

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._socket.close()


class AnswerRig(Soak):
    """Calls a fleet whose endpoints spoil answers while injecting faults into it.

    Args:
        spoils: What endpoints do to the answers that they spoil.
        share: Share of the answers that they spoil.
        has_faults: Whether entries, links and addresses are disturbed.
        slow_callers: Number of callers that read large answers slowly.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        seed: int,
        *,
        spoils: Iterable[Spoil] = tuple(Spoil),
        share: float = SPOILED_SHARE,
        has_faults: bool = True,
        slow_callers: int = SLOW_CALLERS,
    ) -> None:
        super().__init__(fleet, seed)
        self.calls: list[CheckedCall] = []
        self.left_early = 0
        self.peak_mb = 0
        self._spoils = [item for item in spoils if item is not Spoil.NONE]
        self._share = share
        self._has_faults = has_faults
        self._slow_callers = slow_callers

    def run(self, seconds: float) -> None:
        """Call the fleet for ``seconds``, and let it recover if it was disturbed."""
        for service in SERVICE_BY_PREFIX.values():
            for _ in range(ENDPOINTS_PER_SERVICE):
                self._add_endpoint(service)
        self.fleet.configure(SERVICE_BY_PREFIX)
        self.fleet.start()
        count = max(LEAST_CALLERS, round(CALLERS_PER_ENTRY * len(self.fleet.entries)))
        call = (self._call_once, self._call_in_batches)
        callers = [threading.Thread(target=call[n % 2], args=(n,)) for n in range(count)]
        callers += [
            threading.Thread(target=self._call_slowly, args=(count + n,))
            for n in range(self._slow_callers)
        ]
        if self._has_faults:
            callers.append(threading.Thread(target=self._limit_memory))
        for caller in callers:
            caller.start()
        try:
            self._disturb(seconds)
        finally:
            self._stop.set()
            for caller in callers:
                caller.join()

    @property
    def endpoints(self) -> list[MixedEndpoint]:
        """Return all endpoints."""
        return list(self.fleet.endpoint_by_name.values())

    def violations(self) -> list[CheckedCall]:
        """Return the answers that looked whole and were not the endpoint's."""
        return [item for item in self.calls if item.violation]

    def _disturb(self, seconds: float) -> None:
        self._healing.clear()
        timer = threading.Timer(seconds, self._healing.set)
        timer.start()
        while not self._healing.wait(self._random.uniform(*self._gap_s())):
            if self._has_faults:
                self._inject()
        timer.join()
        if self._has_faults:
            self._heal()

    def _gap_s(self) -> tuple[float, float]:
        return (0.2, 1.2)

    def _heal(self) -> None:
        super()._heal()
        for proxy in self.fleet.peer_proxy_by_address.values():
            proxy.heal()

    def _faults(self) -> list[Callable[[], None]]:
        return [
            self._kill,
            self._freeze,
            self._store_down,
            self._reset_links,
            self._delay_links,
            self._cut_links,
            self._cut_peers,
            self._cut_peers,
            self._move_address,
            self._move_address,
        ]

    def _cut_peers(self) -> None:
        """Cut some entries off from the others."""
        proxies = list(self.fleet.peer_proxy_by_address.values())
        if not proxies:
            return
        for proxy in self._random.sample(proxies, self._random.randint(1, len(proxies) // 2 + 1)):
            if self._random.random() < 0.3:
                proxy.reset_all()
            else:
                proxy.is_silent = True
                self._schedule(self._random.uniform(0.3, 2.0), proxy.heal)

    def _move_address(self) -> None:
        """Give the address of an endpoint to a new one of the other service."""
        endpoint = self._random.choice(self.endpoints)
        others = [item for item in self.endpoints if item.state.service == endpoint.state.service]
        if len(others) < 2:
            return
        [service] = set(SERVICE_BY_PREFIX.values()) - {endpoint.state.service}
        before = endpoint.state.endpoint
        self._endpoints += 1
        endpoint.become(f"i-{self._endpoints}", service)

        def register() -> None:
            self.fleet.store.state.delete("servers", before)
            self.fleet.store.state.put("servers", endpoint.state.endpoint, endpoint.registration())

        # Until then, entries take the address for that of the endpoint before.
        self._schedule(self._random.uniform(*REGISTRATION_DELAY_S), register)

    def _add_endpoint(self, service: str) -> None:
        self._endpoints += 1
        name = f"i-{self._endpoints}"
        endpoint = MixedEndpoint(
            name, service, seed=f"{self._seed}/{name}", spoils=self._spoils, share=self._share
        )
        self.fleet.endpoint_by_name[name] = endpoint
        self.fleet.store.state.put("servers", name, endpoint.registration())

    def _call_once(self, number: int) -> None:
        """Use a new connection for each request, and repeat those that fail under another id."""
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stop.is_set():
            count += 1
            item = self._item(rng, f"s{self._seed}-{number}-{count}")
            for retry in range(RETRIES + 1):
                entry = rng.choice(self.fleet.entries)
                attempt = _with_id(item, f"{item.request}-{retry}" if retry else item.request)
                if rng.random() < LEAVING_SHARE:
                    self._leave(entry, attempt, rng.uniform(*LEAVING_AFTER_S))
                    break
                [answer] = self._send(entry, [attempt], "one request")
                if answer.is_whole and answer.status == OK:
                    break
            self._stop.wait(CALL_GAP_S)

    def _call_in_batches(self, number: int) -> None:
        """Keep a connection to each entry, and send one or several requests at a time over it."""
        rng = random.Random(f"{self._seed}/{number}")
        opened_by_entry: dict[str, _Connection] = {}
        count = 0
        while not self._stop.is_set():
            entry = rng.choice(self.fleet.entries)
            batch = []
            for _ in range(rng.choice((1, rng.randint(2, LARGEST_BATCH)))):
                count += 1
                batch.append(self._item(rng, f"s{self._seed}-{number}-{count}", is_kept=True))
            connection = "kept" if len(batch) == 1 else "pipelined"
            self._send(entry, batch, connection, opened_by_entry)
            self._stop.wait(CALL_GAP_S)
        for opened in opened_by_entry.values():
            opened.close()

    def _call_slowly(self, number: int) -> None:
        """Read large answers slowly, all from one entry for some time."""
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stop.is_set():
            count += 1
            position = count // SLOW_CALLS_IN_TURN % len(self.fleet.entries)
            name = f"s{self._seed}-{number}-{count}"
            target = mixed_target(
                "download", rng.choice("xy"), name, rng.choice(SLOW_ANSWER_BYTES), 0
            )
            version = rng.choice(("HTTP/1.1", "HTTP/1.0"))
            item = PipelinedRequest("GET", target, name, version=version, closes=True)
            self._send(self.fleet.entries[position], [item], "slow", pause_s=SLOW_PAUSE_S)

    def _limit_memory(self) -> None:
        """Kill entries that exceed their memory, as the platform does."""
        while not self._stop.wait(0.2):
            for entry in self.fleet.entries:
                used_mb = _resident_mb(entry)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_LIMIT_MB:
                    self.findings.faults["memory_kill"] += 1
                    entry.process.kill()
                    entry.process.wait()
                    entry.start()

    def _item(self, rng: random.Random, name: str, *, is_kept: bool = False) -> PipelinedRequest:
        kind = rng.choice(("safe", "safe", "unsafe", "download"))
        method = "POST" if kind == "unsafe" else rng.choice(("GET", "POST"))
        body_bytes = rng.choice(BODY_BYTES) if method == "POST" else 0
        answer_bytes = rng.choice(ANSWER_BYTES)
        if kind != "download" and answer_bytes > 100_000 and rng.random() < 0.7:
            answer_bytes = rng.randrange(2_000)
        target = mixed_target(kind, rng.choice("xy"), name, answer_bytes, body_bytes)
        version = "HTTP/1.1" if is_kept else rng.choice(("HTTP/1.1", "HTTP/1.1", "HTTP/1.0"))
        is_chunked = body_bytes and version == "HTTP/1.1" and rng.random() < 0.5
        return PipelinedRequest(
            method,
            target,
            name,
            mixed_request_body(target),
            version=version,
            chunk_bytes=rng.choice(CHUNK_BYTES) if is_chunked else 0,
            closes=not is_kept and rng.random() < 0.5,
        )

    def _send(
        self,
        entry: Entry,
        batch: list[PipelinedRequest],
        connection: str,
        opened_by_entry: dict[str, _Connection] | None = None,
        *,
        pause_s: float = 0.0,
    ) -> list[ReceivedAnswer]:
        opened_by_entry = {} if opened_by_entry is None else opened_by_entry
        is_kept = connection in ("kept", "pipelined")
        answers = [ReceivedAnswer() for _ in batch]
        try:
            if entry.name not in opened_by_entry:
                opened_by_entry[entry.name] = _Connection(entry, pause_s=pause_s)
            answers = opened_by_entry[entry.name].exchange(batch)
        except OSError as error:
            answers[0].failure = repr(error)
        opened = opened_by_entry.get(entry.name)
        if opened is not None and (opened.is_done or not is_kept):
            opened_by_entry.pop(entry.name).close()
        checked = [
            CheckedCall(entry.name, item, answer, connection, item.target.split("/")[1])
            for item, answer in zip(batch, answers, strict=True)
        ]
        for item in checked:
            item.check()
        with self._lock:
            self.calls += checked
        return answers

    def _leave(self, entry: Entry, item: PipelinedRequest, after_s: float) -> None:
        with suppress(OSError), _connect(entry) as opened:
            opened.sendall(item.encode(deadline_ms=DEADLINE_MS))
            self._stop.wait(after_s)
        with self._lock:
            self.left_early += 1


@dataclass(frozen=True, slots=True)
class RigReport:
    """What happened in a run of the rig, as plain values."""

    rig: AnswerRig

    def to_plain(self) -> dict[str, Any]:
        """Return the counts and the violations."""
        sent = [item for endpoint in self.rig.endpoints for item in endpoint.state.answers]
        seconds = [item for answer in sent for item in answer.seconds]
        cuts = [item for item in sent if item.spoil is Spoil.CUT]
        calls = self.rig.calls
        violations = self.rig.violations()
        misread = [
            name for endpoint in self.rig.endpoints for name in endpoint.state.misread_requests
        ]
        return {
            "faults": dict(self.rig.findings.faults),
            "peak_mb": self.rig.peak_mb,
            "requests": {
                "unfinished": sum(item.state.unfinished_requests for item in self.rig.endpoints),
                "misdirected": sum(item.state.misdirected for item in self.rig.endpoints),
                "health_checks": sum(item.state.health_checks for item in self.rig.endpoints),
                "health_checks_on_kept_connections": sum(
                    item.state.kept_health_checks for item in self.rig.endpoints
                ),
            },
            "sent": {
                "answers": len(sent),
                "by_spoil": _count(item.spoil.value for item in sent),
                "by_framing": _count(item.framing for item in sent),
                "on_kept_connections": sum(item.exchange > 1 for item in sent),
                "cut_in": _count(f"{item.part}, {item.ending.value}" for item in cuts),
                "cut_framings": _count(item.framing for item in cuts),
            },
            "second_answers": {
                "by_delay_ms": _count(
                    str(int(item.delay_s * MS_PER_S) // DELAY_STEP_MS * DELAY_STEP_MS)
                    for item in seconds
                ),
                "cut": sum(item.cut_at is not None for item in seconds),
                "sent": sum(item.is_sent for item in seconds),
                "sent_in_use": sum(item.is_sent and item.is_in_use for item in seconds),
            },
            "calls": {
                "all": len(calls),
                "by_kind": _count(f"{item.kind} {item.item.method}" for item in calls),
                "by_connection": _count(item.connection for item in calls),
                "by_version": _count(item.item.version for item in calls),
                "by_body": _count(_body_text(item.item) for item in calls if item.item.body),
                "by_status": _count(str(item.answer.status) for item in calls),
                "whole_successes": sum(
                    item.answer.status == OK and item.answer.is_whole for item in calls
                ),
                "broken_successes": sum(
                    item.answer.status == OK and not item.answer.is_whole for item in calls
                ),
                "retries": sum(item.is_retry for item in calls),
                "unanswered": _count(
                    item.answer.failure.partition("(")[0] or "behind another"
                    for item in calls
                    if not item.answer.status
                ),
                "left_early": self.rig.left_early,
            },
            "misread_requests": misread,
            "violations": len(violations),
            "violations_by_kind": _count(f"{item.violation}, {item.kind}" for item in violations),
            "violations_by_spoil": _count(
                _spoil_text(_answers_to(item, sent)) for item in violations
            ),
            "shown": [
                self._plain_violation(item, _answers_to(item, sent))
                for item in violations[:SHOWN_VIOLATIONS]
            ],
        }

    def _plain_violation(self, item: CheckedCall, sent: list[SentAnswer]) -> dict[str, Any]:
        entry = self.rig.fleet.entry_by_name[item.entry]
        return {
            "entry": item.entry,
            "request": item.item.request,
            "violation": item.violation,
            "call": f"{item.item.method} {item.item.target} {item.item.version} {item.connection}",
            "got": f"{item.got_bytes} of {len(item.expected)}, by {item.answer.framing}",
            "headers": item.answer.headers,
            "sent": [
                f"{answer.endpoint} {answer.framing}, {_spoil_text([answer])}, at {answer.cut_at}"
                f", exchange {answer.exchange}"
                for answer in sent
            ],
            "call_ended": _lines_of(entry, "call_ended", item.item.request),
        }


def _answers_to(call: CheckedCall, sent: list[SentAnswer]) -> list[SentAnswer]:
    return [item for item in sent if item.request == call.item.request]


def _spoil_text(sent: list[SentAnswer]) -> str:
    if not sent:
        return "no answer"
    last = sent[-1]
    if last.ending is None:
        return last.spoil.value
    return f"{last.framing} cut in {last.part}, {last.ending.value}"


def _body_text(item: PipelinedRequest) -> str:
    return f"{len(item.body)} by {'chunks' if item.chunk_bytes else 'length'}"


def _count(items: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(items).items()))


def _with_id(item: PipelinedRequest, request: str) -> PipelinedRequest:
    return PipelinedRequest(
        item.method,
        item.target,
        request,
        item.body,
        version=item.version,
        chunk_bytes=item.chunk_bytes,
        closes=item.closes,
    )


def _connect(entry: Entry, *, receive_bytes: int | None = None) -> socket.socket:
    opened = socket.socket()
    if receive_bytes is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    opened.settimeout(TIMEOUT_S)
    try:
        opened.connect(("127.0.0.1", entry.front_port))
    except OSError:
        opened.close()
        raise
    return opened


def _lines_of(entry: Entry, event: str, request: str) -> list[str]:
    # A killed entry may have cut its last line, so the lines are not parsed.
    lines = entry.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [line for line in lines if f'"{event}"' in line and f'"{request}"' in line]


def _resident_mb(entry: Entry) -> int:
    try:
        lines = Path(f"/proc/{entry.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0
    sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(sizes[0]) // 1024 if sizes else 0


def rig(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    entries: int = ENTRIES,
    spoils: str = "",
    share: float = SPOILED_SHARE,
    faults: bool = True,
    slow_callers: int = SLOW_CALLERS,
    entry_python: str = sys.executable,
    logs: str = "",
) -> None:
    """Run the rig with one seed and print its result.

    Args:
        seed: Determines what is spoiled and disturbed, and the calls.
        seconds: How long the fleet is called.
        entries: Number of entries.
        spoils: What endpoints do to the answers that they spoil, comma-separated; all if empty.
        share: Share of the answers that they spoil.
        faults: Whether entries, links and addresses are disturbed.
        slow_callers: Number of callers that read large answers slowly.
        entry_python: Interpreter of the entries.
        logs: Folder to keep the entries' logs in; empty discards them.
    """
    names = spoils if isinstance(spoils, (list, tuple)) else spoils.split(",")
    chosen = [Spoil(name) for name in names if name] or list(Spoil)
    with tempfile.TemporaryDirectory() as folder:
        log_folder = Path(logs or folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        with platform_fleet(
            log_folder,
            entries=entries,
            has_proxies=True,
            has_peer_proxies=True,
            python=entry_python,
        ) as fleet:
            answer_rig = AnswerRig(
                fleet,
                seed,
                spoils=chosen,
                share=share,
                has_faults=faults,
                slow_callers=slow_callers,
            )
            answer_rig.run(seconds)
            report = RigReport(answer_rig).to_plain()
    print(json.dumps({"seed": seed, "entries": entries, "spoils": spoils} | report))
    sys.exit(1 if report["violations"] or report["misread_requests"] else 0)


if __name__ == "__main__":
    fire.Fire(rig)
