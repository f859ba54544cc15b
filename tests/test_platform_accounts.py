"""Client accounts through real entries, judged from what the endpoints receive."""

import json
import threading
import time
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.account import LARGEST_KEY_BYTES, UNUSABLE_KEY, read_key
from cassiahaven_platform.dialects import PlatformUpstreams
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.pipelining_caller import PipelinedRequest, PipeliningCaller
from cassiahaven_standins.platform_fleet import platform_fleet

REVOCATION_BOUND_S = 2.5
KEY = "key-of-ada-1"
ADA = ["ada", [KEY, "key-of-ada-2"], 0, 0, 0]
BO = ["bo", ["key-of-bo"], 1, 0, 0]
UNREADABLE = ["cy", "not a list", "x", 0, 0]


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path) as running:
        running.add_endpoint("i-1", "one")
        running.add_endpoint("i-2", "one")
        running.configure({"x": "one", "open": "one"}, accounts=[ADA, BO], anonymous={"open"})
        running.start()
        yield running


@pytest.fixture
def call(fleet):
    numbers = count()

    def send(target="/safe/x/1", authorization=None, *, entry=0, method="GET", **headers):
        request = f"req-{next(numbers)}"
        if authorization is not None:
            headers["Authorization"] = authorization
        status, _, answered = fleet.call(
            fleet.entries[entry], method, target, request=request, headers=headers
        )
        return status, request, answered

    return send


def received_headers(fleet, request):
    """Return the headers of each receipt of a request at any endpoint."""
    return [
        headers
        for endpoint in fleet.endpoint_by_name.values()
        for received, headers in endpoint.state.received_headers
        if received == request
    ]


def test_calls_need_a_key_and_endpoints_see_the_account_in_place_of_it(fleet, call):
    # Keys were passed on to the endpoints, and what callers sent as the account's name too.
    for number, (authorization, target, status, account) in enumerate(
        [
            (f"Bearer {KEY}", "/safe/x/", 200, "ada"),
            (f"bEARER  {KEY}", "/safe/x/", 200, "ada"),
            ("Bearer key-of-bo", "/download/x/", 200, "bo"),
            ("Bearer key-of-ada-2", "/safe/open/", 200, "ada"),
            (None, "/safe/open/", 200, None),
            (None, "/safe/x/", 401, None),
            ("Bearer key-of-nobody", "/safe/x/", 401, None),
            ("Bearer key-of-nobody", "/safe/open/", 401, None),
            (f"Basic {KEY}", "/safe/open/", 401, None),
            ("Bearer", "/safe/x/", 401, None),
            ("", "/safe/open/", 401, None),
            (f"Bearer {KEY}", "/nowhere/", 404, None),
            (None, "/nowhere/", 404, None),
        ]
    ):
        claimed = {"tenant-ID": "bo", "Tenant_Id": "eve", "tenant_id": "eve"}
        got, request, answered = call(target, authorization, entry=number % 2, **claimed)
        assert got == status, (authorization, target)
        seen = received_headers(fleet, request)
        assert len(seen) == (1 if status == 200 else 0)
        for headers in seen:
            names = [value for name, value in headers if name.lower().startswith("tenant")]
            assert names == ([account] if account else [])
            assert "key-of" not in str(headers)
        assert (status == 401) == ("WWW-Authenticate" in answered)
    for entry in fleet.entries:
        assert "key-of" not in entry.log_path.read_text()
        assert b"key-of" not in entry.http_get(entry.metrics_port, "/metrics")[1]
        assert b"key-of" not in entry.http_get(entry.metrics_port, "/v1/status")[1]


def test_retries_carry_no_key_either(fleet, call):
    # A retry is built anew from the caller's request.
    fleet.endpoint_by_name["i-1"].state.fault = "error"
    requests = [call(authorization=f"Bearer {KEY}")[1] for _ in range(10)]
    seen = [headers for request in requests for headers in received_headers(fleet, request)]
    assert len(seen) > len(requests)
    assert all(("Tenant-Id", "ada") in headers for headers in seen)
    assert "key-of" not in str(seen)


def test_two_keys_are_refused_and_pipelined_calls_keep_their_own_account(fleet):
    # Values of a repeated header are joined by the server, which must not yield another account.
    caller = PipeliningCaller(fleet.entries[0].front_port)
    headers = [
        (("Authorization", f"Bearer {KEY}"),),
        (("Authorization", f"Bearer {KEY}"), ("authorization", "Bearer key-of-bo")),
        (("AUTHORIZATION", "Bearer key-of-bo"), ("Connection", "authorization")),
        (),
    ]
    batch = [
        PipelinedRequest("GET", "/safe/x/1", f"p-{number}", headers=headers[number % 4])
        for number in range(8)
    ]
    answers = caller.call(batch)
    caller.close()
    assert [status for status, _ in answers] == [200, 401, 200, 401] * 2
    for number, account in ((0, "ada"), (2, "bo"), (4, "ada"), (6, "bo")):
        (seen,) = received_headers(fleet, f"p-{number}")
        assert [value for name, value in seen if name.lower() == "tenant-id"] == [account]


def test_revoked_key_is_refused_and_added_one_works_within_the_bound(fleet, call):
    kept = PipeliningCaller(fleet.entries[0].front_port)
    headers = (("Authorization", f"Bearer {KEY}"),)
    before = PipelinedRequest("GET", "/safe/x/1", "kept-1", headers=headers)
    assert kept.call([before])[0][0] == 200
    fleet.configure({"x": "one"}, accounts=[["ada", ["key-of-ada-3"], 0, 0, 0], BO])
    written_s = time.monotonic()
    for entry in range(2):
        for key, status in ((KEY, 401), ("key-of-ada-3", 200)):
            wait_until(
                lambda key=key, status=status, entry=entry: call(
                    authorization=f"Bearer {key}", entry=entry
                )[0]
                == status,
                "the new keys are in force",
            )
            assert time.monotonic() - written_s < REVOCATION_BOUND_S
    after = PipelinedRequest("GET", "/safe/x/1", "kept-2", headers=headers)
    assert kept.call([after])[0][0] == 401
    kept.close()


def test_calls_that_wait_or_are_pipelined_are_refused_once_their_key_is_revoked(fleet):
    # Both were read while the key was valid, and are due to be sent after it is revoked.
    for endpoint in fleet.endpoint_by_name.values():
        endpoint.state.service_time_s = 3.0
    fleet.configure(
        {"x": "one"}, accounts=[ADA, BO], anonymous={"open"}, timeout_ms=9000, target_ms=9000
    )
    threading.Event().wait(REVOCATION_BOUND_S)
    held = PipeliningCaller(fleet.entries[0].front_port, deadline_ms=9000)
    key = (("Authorization", f"Bearer {KEY}"),)
    batch = [
        PipelinedRequest("POST", "/unsafe/x/1", f"w-{number}", body=b"b", headers=key)
        for number in range(2)
    ]
    answers = []
    waiting = threading.Thread(target=lambda: answers.extend(held.call(batch)))
    waiting.start()
    threading.Event().wait(0.2)
    fleet.configure({"x": "one"}, accounts=[BO], timeout_ms=9000, target_ms=9000)
    waiting.join()
    held.close()
    assert [status for status, _ in answers] == [200, 401]
    assert not received_headers(fleet, "w-1")


def test_operators_read_an_account_back_and_limit_it(fleet, call, run_command):
    def shown(*arguments):
        done = run_command(fleet, *arguments, "--json")
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)

    fleet.configure({"x": "one"}, accounts=[["ada", [KEY], 3, 40, 80], BO])
    wait_until(
        lambda: shown("effective", "account:ada")["account:ada"]["in_force"] == 2,
        "the configuration is in force at both entries",
    )
    rows = shown("effective")
    assert rows.keys() == {"account:ada", "account:bo"}
    row = rows["account:ada"]
    assert row["value"] == {"priority": 3, "rate_per_s": 40, "burst": 80, "keys": 1}
    assert (row["version"], row["missing"]) == (fleet.version, [])
    fields = shown("table", "get", "one", "a", "ada")
    assert (fields["priority"]["value"], fields["quota_burst"]["value"]) == (3, 80)
    assert run_command(fleet, "effective", "account:nobody").returncode == 6
    assert run_command(fleet, "table", "set", "one", "account:ada", "--weight", "1").returncode == 2
    assert run_command(fleet, "table", "set", "one", "*/ada", "--weight", "0").returncode == 0
    wait_until(lambda: call(authorization=f"Bearer {KEY}")[0] == 503, "the account is blocked")
    assert call(authorization="Bearer key-of-bo")[0] == 200
    _, request, _ = call(authorization=f"Bearer {KEY}")

    def lines():
        ended = fleet.entries[0].events("call_ended")
        return [line for line in ended if line["request"] == request]

    wait_until(lines, "the log is written")
    (line,) = lines()
    assert (line["account"], line["overall_share"]) == ("ada", 1.0)


def test_unknown_key_may_belong_to_an_unreadable_row(fleet, call):
    fleet.configure({"x": "one"}, accounts=[ADA, UNREADABLE])
    wait_until(lambda: call(authorization="Bearer key-of-cy")[0] == 503, "the key may be the row's")
    assert call(authorization=f"Bearer {KEY}")[0] == 200
    assert call(authorization=f"Basic {KEY}")[0] == 401
    assert call()[0] == 401


def test_without_accounts_headers_are_forwarded_as_they_are(fleet, call):
    fleet.configure({"x": "one"})
    sent = {"Authorization": "Basic key-of-eve", "tenant_id": "eve"}
    wait_until(lambda: call(**sent)[0] == 200, "calls need no key")
    _, request, _ = call(**sent)
    (seen,) = received_headers(fleet, request)
    assert sent.items() <= dict(seen).items()


@pytest.mark.parametrize(("fails_closed", "status"), [("true", 503), ("false", 200)])
def test_entry_cut_off_from_the_store_refuses_keys_only_if_it_fails_closed(
    tmp_path, fails_closed, status
):
    bounds = (f"failClosed={fails_closed}", "revoke=1500ms")
    with platform_fleet(tmp_path, entries=1, bounds=bounds) as fleet:
        fleet.add_endpoint("i-1", "one")
        fleet.configure({"x": "one", "open": "one"}, accounts=[ADA], anonymous={"open"})
        fleet.start()

        def call(target, **headers):
            return fleet.call(
                fleet.entries[0], "GET", target, request=f"r-{time.monotonic()}", headers=headers
            )[0]

        assert call("/safe/x/", Authorization=f"Bearer {KEY}") == 200
        fleet.store.state.is_down = True
        threading.Event().wait(2.0)
        assert call("/safe/x/", Authorization=f"Bearer {KEY}") == status
        assert call("/safe/open/") == 200
        assert call("/safe/x/", Authorization="Basic x") == 401
        refused = [line["refused"] for line in fleet.entries[0].events("keys_refused")]
        assert refused == ([True] if status == 503 else [])
        fleet.store.state.is_down = False
        wait_until(
            lambda: call("/safe/x/", Authorization=f"Bearer {KEY}") == 200, "the store is back"
        )


SPELLINGS = st.builds(
    lambda text, upper, separator: "".join(
        letter.upper() if is_upper else letter for letter, is_upper in zip(text, upper, strict=True)
    ).replace("-", separator),
    st.shared(st.sampled_from(["tenant-id", "authorization"]), key="name"),
    st.shared(st.sampled_from(["tenant-id", "authorization"]), key="name").flatmap(
        lambda text: st.lists(st.booleans(), min_size=len(text), max_size=len(text))
    ),
    st.sampled_from("-_"),
)
OTHERS = st.sampled_from(["Accept", "X-Tenant-Id", "Tenant-Ids", "Cookie"])
HEADERS = st.lists(st.tuples(st.one_of(SPELLINGS, OTHERS), st.text("abc ,", max_size=5)))


@given(headers=HEADERS, account=st.sampled_from(["", "ada"]))
def test_no_spelling_of_a_header_passes_for_the_account(headers, account):
    # Servers compare names without case, and some take an underscore for a hyphen.
    got = PlatformUpstreams().account_headers(tuple(headers), account)
    kept = [
        item for item in headers if item[0] in ("Accept", "X-Tenant-Id", "Tenant-Ids", "Cookie")
    ]
    assert list(got) == kept + ([("Tenant-Id", account)] if account else [])


@given(
    scheme=st.sampled_from(["Bearer", "bearer", "BEARER", "bEaReR"]),
    spaces=st.integers(1, 3),
    key=st.text(st.characters(codec="utf-8", exclude_characters=" "), max_size=600),
)
def test_a_key_is_read_as_it_is_configured_or_not_at_all(scheme, spaces, key):
    sent = key.encode().decode("latin-1")
    expected = key if len(key.encode()) <= LARGEST_KEY_BYTES else UNUSABLE_KEY
    assert read_key([scheme + " " * spaces + sent]) == expected
    assert read_key([f"{scheme} {sent}"] * 2) == UNUSABLE_KEY
    assert read_key([f"{scheme}x {sent}"]) == UNUSABLE_KEY
