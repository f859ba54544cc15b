"""Usage claims between the entries of a fleet, and the refusal of calls beyond a cap."""

from contextlib import suppress
from types import SimpleNamespace

import pytest

from cassiahaven_core.account import ClientAccount, key_digest
from cassiahaven_core.answer import Answer
from cassiahaven_core.edge import CallRequest
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.outcome import NotRun, Ran
from cassiahaven_core.peer_message import (
    MemberReport,
    StateRequest,
    UsageClaims,
    UsageJoined,
    UsageNews,
    WatcherReport,
    decode,
    encode,
)
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.route import GatewayConfig, Route, RoutingTable, ServiceShare
from cassiahaven_core.routed_settings import UsageCapBounds
from cassiahaven_core.usage_cap import (
    MAJORITY_MS,
    Admitted,
    Capped,
    CapState,
    Claim,
    Claims,
    UsageCaps,
)
from cassiahaven_entry.call import Finished
from cassiahaven_entry.caller_connection import CallerLeft
from cassiahaven_entry.clock import boot_ms, now_ms
from cassiahaven_entry.fleet_links import FleetLinks, LinkCallbacks, StateRequestPacer, WatcherLink
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.routed_calls import RoutedCalls
from cassiahaven_entry.usage_exchange import FORWARD_MS, UsageExchange
from cassiahaven_platform.dialects import PlatformCallers
from cassiahaven_standins.fleet import free_port

BOUNDS = UsageCapBounds(5000.0, 0.1, 20.0)
KEY = "k"
SMALL = ClientAccount("small", (key_digest(KEY),), None, 1.0, 1.0)
LARGE = ClientAccount("large", (), None, 1000.0, 1000.0)


def make_exchange(name, fleet, *, send, subscribers=dict, send_to=lambda message, names: None):
    made = UsageExchange(
        UsageCaps(name, f"{name}-1", BOUNDS),
        fleet,
        named=lambda: {"a1", "b1", "c1"},
        subscribers=subscribers,
        send=send,
        send_to=send_to,
        metrics=Metrics(),
    )
    made.caps.set_accounts([SMALL, LARGE])
    return made


class Entry:
    """An entry whose links deliver at once what it encodes."""

    def __init__(self, own, members, entries):
        self.fleet = Fleet(own)
        self.fleet.set_members(members)
        state = LinkCallbacks(
            report=lambda: WatcherReport([own.name], [], 0.0, {}),
            versions=dict,
            state_request=lambda topic: StateRequest(topic, 0),
            state_update=lambda request: None,
            on_state_update=lambda update, peer: None,
            on_crash=lambda notice: None,
            on_rate_limit=lambda notice: None,
        )
        self.links = FleetLinks(self.fleet, state, key="k", metrics=Metrics())
        self.entries = entries
        self.usage = state.usage = make_exchange(
            own.name,
            self.fleet,
            subscribers=self.followers,
            send=self.send,
            send_to=self.send_to,
        )
        self.link_by_watcher = {
            member.name: WatcherLink(
                member, "k", self.fleet, state, StateRequestPacer(), lambda: True
            )
            for member in members
            if member != own
        }

    def followers(self):
        return {name: name for name in self.entries if name != self.fleet.own.name}

    def send(self, message):
        name = self.fleet.own.name
        for watcher in self.link_by_watcher:
            replies = self.entries[watcher].links.receive(name, decode(encode(message)))
            for reply in replies:
                self.link_by_watcher[watcher]._receive(decode(encode(reply)))

    def send_to(self, message, names):
        for name in names:
            link = self.entries[name].link_by_watcher[self.fleet.own.name]
            link._receive(decode(encode(message)))

    def report(self):
        for name in self.followers():
            report = MemberReport(self.fleet.own.name, False)
            self.entries[name].links.receive(self.fleet.own.name, report)


@pytest.fixture
def entries(clock):
    """Return three entries, one a zone, each of which watches the store."""
    members = [
        Member(f"{zone}1", f"{zone}1-1", zone, f"{zone}1:1", f"127.0.0.1:{free_port()}")
        for zone in "abc"
    ]
    made = {}
    for own in members:
        made[own.name] = Entry(own, members, made)
    return made


def test_claims_are_lost_between_entries(entries, clock):
    for step in range(60):
        for name in ("a1", "b1"):
            entries[name].usage.check("large")
        for entry in entries.values():
            if step % 20 == 0:
                entry.report()
            entry.usage.tick()
        clock.advance_ms(25)
    shares = [entries[name].usage.caps.share("large", boot_ms()) for name in ("a1", "b1")]
    assert sum(shares) <= 1.01
    assert min(shares) > 0.3
    claims = entries["a1"].usage.caps.claims_by_entry("large", boot_ms())
    assert claims["b1"].used > 30
    assert not entries["c1"].usage.caps.has_claims


@pytest.mark.parametrize(
    "message",
    [
        UsageClaims([Claims("a", "a-1", 7, True, False, {"b-1": 3}, {"large": Claim(2.5, 4)})]),
        UsageJoined(7),
        UsageNews("a", ["large"], {"small": 2}),
    ],
)
def test_message_is_not_the_same_after_its_encoding(message):
    assert decode(encode(message)) == message


def test_entry_without_accounts_or_claims_sends_messages(clock):
    sent = []
    exchange = make_exchange("a1", Fleet(Member("a1", "a1-1", "a", "", "")), send=sent.append)
    for _ in range(100):
        exchange.tick()
        clock.advance_ms(FORWARD_MS)
    exchange.caps.set_accounts([])
    assert exchange.check("large") == Admitted(CapState.UNLIMITED)
    exchange.tick()
    assert sent == []


def test_sole_watcher_never_joins_or_joins_before_it_knows_all_claims(clock):
    own = Member("a1", "a1-1", "a", "", "")
    fleet = Fleet(own)
    fleet.set_members([own])
    exchange = make_exchange("a1", fleet, send=lambda message: None)

    def admitted(duration_ms):
        """Return how many of 200 calls a second are admitted."""
        count = 0
        for _ in range(int(duration_ms / 5)):
            exchange.tick()
            count += isinstance(exchange.check("large"), Admitted)
            clock.advance_ms(5)
        return count

    allowance = 0.75 * 620 / 3
    settle_ms = MAJORITY_MS + BOUNDS.window_ms
    assert admitted(settle_ms) <= 2 * allowance
    admitted(1000)
    assert admitted(5000) == 1000
    clock.advance_ms(4000)  # the VM was suspended
    assert admitted(5000) <= allowance


@pytest.fixture
def calls():
    """Return the calls of an entry whose account is the name of its route."""
    routing = RoutingTable()
    route = Route("small", "host", "/", (ServiceShare("one", 1),), True, 1000.0, 500.0, 1)
    routing.activate(GatewayConfig(1, (route,), {}, accounts=(SMALL, LARGE)))
    fleet = Fleet(Member("a1", "a1-1", "a", "", ""))
    runs = []
    exchange = make_exchange("a1", fleet, send=lambda message: None)
    made = RoutedCalls(
        "a1-1",
        routing,
        lambda service: None,
        SimpleNamespace(run=lambda call, task: runs.append(call)),
        PlatformCallers(routing),
        metrics=Metrics(),
        usage=exchange,
    )
    return made, runs


def test_call_beyond_the_cap_is_sent_or_refused_without_a_time(calls):
    made, runs = calls
    decisions = [made._decide_usage(SMALL) for _ in range(20)]
    refused = [item for item in decisions if isinstance(item, Capped)]
    assert refused
    assert all(isinstance(item, Admitted) for item in decisions[: -len(refused)])
    assert made._decide_usage(None) == Admitted(CapState.UNLIMITED)
    headers = (("Authorization", f"Bearer {KEY}"),)
    response = made.run(
        CallRequest("", "GET", "/", headers, b"", KEY, None, None, host="host", arrived_ms=now_ms())
    )
    assert runs == []
    assert response.status == 429
    retry_after = [value for name, value in response.headers if name == "Retry-After"]
    assert 0 < float(retry_after[0]) <= BOUNDS.window_ms / 1000


@pytest.mark.parametrize(
    "finished",
    [
        Finished(NotRun(RefusalReason.WAIT_TOO_LONG)),
        Finished(Ran(200, "one-1"), Answer(200, (), b"")),
    ],
)
def test_call_that_did_not_run_counts_against_the_cap_or_one_that_ran_does_not(calls, finished):
    made, _ = calls
    made._usage.tick()
    made._attempts = SimpleNamespace(run=lambda call, task, check: finished)
    policy = SimpleNamespace(retry_after_ms=lambda call, now_ms: 100.0)
    made._task_for = lambda service: SimpleNamespace(policy=policy)
    headers = (("Authorization", f"Bearer {KEY}"),)
    statuses = [
        made.run(
            CallRequest(
                "", "GET", "/", headers, b"", KEY, None, None, host="host", arrived_ms=now_ms()
            )
        ).status
        for _ in range(20)
    ]
    assert (429 in statuses) == isinstance(finished.outcome, Ran)


@pytest.mark.parametrize("is_sent", [False, True])
def test_call_whose_caller_left_while_it_waited_counts_against_the_cap(calls, is_sent):
    made, _ = calls
    made._usage.tick()

    def leave(call, task, check):
        call.is_sent = is_sent
        raise CallerLeft

    made._attempts = SimpleNamespace(run=leave)
    headers = (("Authorization", f"Bearer {KEY}"),)
    for _ in range(20):
        request = CallRequest(
            "", "GET", "/", headers, b"", KEY, None, None, host="host", arrived_ms=now_ms()
        )
        with suppress(CallerLeft):
            made.run(request)
    assert (made._usage.caps.used("small", boot_ms()) > 0) == is_sent


def test_refusal_for_another_reason_becomes_a_429():
    callers = PlatformCallers(RoutingTable())
    for reason in RefusalReason:
        status = callers.local_response("one", NotRun(reason), retry_after_ms=1.0).status
        assert (status == 429) == (reason is RefusalReason.USAGE_CAPPED)
