"""The adapter translates the platform's formats and keeps the platform's names to itself."""

import json
import platform as standard_platform
import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.outcome import NotRun, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.request_memory import DEFAULT_PROCESS_BYTES
from cassiahaven_core.route import RoutingTable
from cassiahaven_entry.caller_dialect import RequestRejected
from cassiahaven_platform.dialects import (
    PlatformCallers,
    PlatformUpstreams,
    answer_directory,
    answer_readiness,
    read_load,
)
from cassiahaven_platform.objects import (
    decode_config,
    decode_member,
    decode_registration,
    encode_member,
)
from cassiahaven_platform.settings import read_settings
from cassiahaven_platform.values import duration_ms

ROOT = Path(__file__).parents[1]
SETTINGS = {
    "node": "edge-a-1",
    "ip": "10.1.0.18",
    "zone": "a",
    "zones": {"a": "r", "b": "r"},
    "listen": {
        "front": "10.1.0.18:8381",
        "ready": "10.1.0.18:8388",
        "directory": "10.1.0.18:8383",
    },
    "internalPorts": [7200, 7215],
    "limits": {"cpuShare": 0.717, "cpuCores": 3},
    "bounds": ["ttl_max=5s", "grace=6s", "budgetRatio=0.2", "budgetWindow=10s", "budgetSlack=60"],
    "platform": {"address": "10.200.1.7:8384"},
}
REGISTRATION = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemaining": "1.5s",
    "sequence": 4,
    "born": 1700000000000,
}
CONFIG = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "hostname",
            "pathPrefix",
            "kind",
            "timeout",
            "targetLatency",
            "priority",
            "trafficSplit",
            "maxAttempts",
            "service",
        ],
        "rows": [
            ["r1", "H.example", "/a/", "safe", "1000ms", "300ms", 2, None, 2, "s"],
            [
                "r2",
                "h.example",
                "/b/",
                "unsafe",
                "1.2s",
                "400ms",
                0,
                [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
                1,
                None,
            ],
        ],
    },
    "services": {
        "columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
        "rows": [["s", "/health", 240, "h1", False]],
    },
    "limits": {"maxBodyBytes": 1000, "idleTimeout": "15000ms"},
}


@pytest.fixture
def write_settings(tmp_path):
    def write(value):
        path = tmp_path / "local.json"
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return path

    return write


@pytest.fixture
def callers():
    routing = RoutingTable()
    routing.activate(decode_config({"metadata": {"name": "main"}, "spec": CONFIG}).item)
    return PlatformCallers(routing)


def stored(spec, name="i-1"):
    return {"metadata": {"name": name}, "spec": spec}


def test_settings_are_decoded(write_settings):
    settings = read_settings(write_settings(SETTINGS))
    assert str(settings.peers) == "10.1.0.18:7200"
    assert settings.stop_ms == 6000
    assert settings.address_lifetime_ms <= 5000
    assert (settings.retry_share, settings.retry_slack) == (0.2, 60)
    assert settings.cores == pytest.approx(2.151)
    assert settings.memory_bytes == DEFAULT_PROCESS_BYTES


def test_memory_limit_is_decoded(write_settings):
    # An entry that took itself for larger than it is would outgrow its memory.
    limits = SETTINGS["limits"] | {"memoryMb": 200}
    settings = read_settings(write_settings(SETTINGS | {"limits": limits}))
    assert settings.memory_bytes == 209_715_200


@pytest.mark.parametrize("limits", [[], {"memoryMb": "much"}, {"memoryMb": None}])
def test_unreadable_memory_limit_is_reported(write_settings, limits):
    with pytest.raises(InvalidDocument) as caught:
        read_settings(write_settings(SETTINGS | {"limits": limits}))
    assert any("limits" in finding.path for finding in caught.value.findings)


def test_all_faults_of_settings_are_reported_together(write_settings):
    broken = SETTINGS | {"node": 3, "listen": {"front": "nowhere"}, "bounds": ["grace=soon"]}
    with pytest.raises(InvalidDocument) as caught:
        read_settings(write_settings(broken))
    places = {finding.path for finding in caught.value.findings}
    assert {"node", "listen.front", "listen.ready", "bounds.grace"} <= places


@pytest.mark.parametrize("content", ["", "{", "[]", "null"])
def test_settings_that_are_not_an_object_are_rejected(write_settings, content):
    with pytest.raises(InvalidDocument):
        read_settings(write_settings(content))


def test_unreadable_settings_stop_the_process_and_name_the_file(write_settings):
    path = write_settings("{")
    command = [sys.executable, "-m", "cassiahaven_entry.routed_main", "cassiahaven_platform"]
    done = subprocess.run(
        command,
        env={"CASSIAHAVEN_CONFIG": str(path), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == 2
    assert str(path) in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize(("text", "ms"), [("1500ms", 1500), ("2.5s", 2500), ("0ms", 0)])
def test_durations(text, ms):
    assert duration_ms(text) == ms


@pytest.mark.parametrize("value", ["", "5", "5m", "-1s", 5, None, "1e3ms", ["1s"]])
def test_invalid_durations_are_rejected(value):
    with pytest.raises(ValueError, match="duration"):
        duration_ms(value)


def test_registration_is_decoded():
    item = decode_registration(stored(REGISTRATION)).item
    assert (item.endpoint, item.host, item.port) == ("i-1", "10.128.0.9", 8080)
    assert (item.slots, item.is_draining, item.cold_ms) == (3, False, 1500)
    assert item.incarnation == "1700000000000"


MALFORMED_REGISTRATIONS = [
    {key: value for key, value in REGISTRATION.items() if key != left_out}
    for left_out in ("service", "address", "zone", "slots", "state", "sequence", "coldRemaining")
]
MALFORMED_REGISTRATIONS += [
    REGISTRATION | changed
    for changed in (
        {"state": "resting"},
        {"slots": "3"},
        {"slots": 0},
        {"slots": True},
        {"slots": 10**9},
        {"address": "10.128.0.9"},
        {"address": ["10.128.0.9:80"]},
        {"sequence": 1.5},
        {"born": "yesterday"},
        {"service": ""},
    )
]


@pytest.mark.parametrize("spec", [*MALFORMED_REGISTRATIONS, None, "garbled", [], 7])
def test_malformed_registration_yields_no_endpoint(spec):
    change = decode_registration(stored(spec))
    assert change.item is None
    assert change.name == "i-1"
    assert change.finding


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=10,
)


@given(json_values)
def test_decoders_report_any_malformed_object_without_raising(value):
    for decode in (decode_registration, decode_config, decode_member):
        assert decode(value).item is None
        assert decode({"metadata": {"name": "x"}, "spec": value}).item is None


def test_configuration_is_decoded():
    config = decode_config(stored(CONFIG, "main")).item
    first, second = config.routes
    assert (first.host, first.is_idempotent, first.timeout_ms) == ("h.example", True, 1000)
    assert [share.service for share in second.shares] == ["s", "t"]
    assert (second.is_idempotent, second.timeout_ms, second.most_attempts) == (False, 1200, 1)
    assert config.service_by_name["s"].health_path == "/health"
    assert config.limits.idle_ms == 15000


def test_member_is_unchanged_by_a_round_trip_through_the_store():
    spec = {
        "process": "p",
        "zone": "a",
        "callers": "h:1",
        "peers": "h:2",
        "cores": 0.86,
        "operators": "h:3",
    }
    member = decode_member(stored(spec, "edge-a-1")).item
    assert encode_member(member) == spec


def head(status, **headers):
    named = {name.replace("_", "-").lower(): value for name, value in headers.items()}
    return PlatformUpstreams().read_head(status, named, "r1")


def test_success_counts_only_signed_unencoded_and_for_this_request():
    assert head(200, Response_Signature="s", Request_Id="r1").is_genuine
    assert not head(200, Response_Signature="s").is_genuine
    assert not head(200, Request_Id="r1").is_genuine
    assert not head(200, Response_Signature="s", Request_Id="r2").is_genuine
    assert not head(200, Request_Id="r1", Response_Signature="s", Content_Encoding="x").is_genuine
    anonymous = PlatformUpstreams().read_head(200, {"response-signature": "s"}, None)
    assert anonymous.is_genuine  # the caller's request had no id to name


@pytest.mark.parametrize("status", [408, 429, 503])
def test_only_the_endpoint_may_promise_that_it_did_not_run(status):
    assert not head(status, Response_Signature="s").is_genuine
    assert head(status, Not_Executed="1").not_run


def test_another_endpoint_at_the_address_did_not_run_the_call():
    signal = head(421, Instance_Id="i-2")
    assert (signal.not_run, signal.is_misdirected) == (True, True)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("3,0,8", (3, 0, 1.0)), ("2,1,3,500", (2, 1, 5.0)), ("", None), ("a,b", None), ("1", None)],
)
def test_load_report(text, expected):
    report = read_load(text)
    got = None if report is None else (report.running, report.waiting, report.slowdown)
    assert got == expected


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (NotRun(RefusalReason.WAIT_TOO_LONG), 503),
        (NotRun(RefusalReason.NOT_CONFIGURED), 503),
        (NotRun(RefusalReason.DEADLINE_EXCEEDED), 503),
        (NotRun(RefusalReason.NO_ROUTE), 404),
        (NotRun(RefusalReason.BODY_TOO_LARGE), 413),
        (Unknown(UnknownReason.CONNECTION_LOST), 502),
        (Unknown(UnknownReason.ANSWER_TIMEOUT), 504),
    ],
)
def test_status_matches_the_outcome(callers, outcome, status):
    response = callers.local_response("s", outcome, request_id="r1", retry_after_ms=125.0)
    headers = dict(response.headers)
    assert response.status == status
    assert headers["Request-Id"] == "r1"
    assert headers.get("Retry-After") == ("0.125" if status == 503 else None)


def test_request_head_is_read(callers):
    environ = {
        "HTTP_HOST": "H.example:80",
        "HTTP_DEADLINE_MS": "1200",
        "HTTP_REQUEST_ID": "r1",
        "cassiahaven.target": "/a/%2f?x=1",
        "headers_raw": (("Host", "H.example:80"),),
    }
    read = callers.read_head(environ)
    assert (read.host, read.target, read.timeout_ms) == ("h.example", "/a/%2f?x=1", 1200)
    assert read.largest_body_bytes == 1000
    assert callers.read_head(environ | {"HTTP_DEADLINE_MS": "soon"}).timeout_ms is None


def test_calls_before_the_first_configuration_are_refused_as_not_configured():
    environ = {
        "HTTP_HOST": "h",
        "HTTP_REQUEST_ID": "r1",
        "CONTENT_LENGTH": "5000",
        "cassiahaven.target": "/",
    }
    with pytest.raises(RequestRejected) as caught:
        PlatformCallers(RoutingTable()).read_head(environ)
    assert caught.value.reason is RefusalReason.NOT_CONFIGURED
    assert caught.value.request_id == "r1"


def test_directory_and_readiness():
    member = decode_member(
        stored(
            {
                "process": "p",
                "zone": "a",
                "callers": "h:1",
                "peers": "h:2",
                "cores": 1.0,
                "operators": "h:3",
            },
            "m",
        )
    ).item
    question = {"PATH_INFO": "/cassiahaven/lookup", "QUERY_STRING": "name=h.example&zone=a"}
    answer = answer_directory(question, lambda host, zone: [member], 2000.0)
    assert json.loads(b"".join(answer.body)) == {"addresses": ["h:1"], "ttl": "2000ms"}
    assert answer_directory(question, lambda host, zone: [], 2000.0).status == 503
    asked = {"PATH_INFO": "/cassiahaven/readiness"}
    assert answer_readiness(asked, True).status == 200
    assert answer_readiness(asked, False).status == 503


def test_the_folder_does_not_shadow_the_standard_library():
    assert not (ROOT / "platform" / "__init__.py").exists()
    assert standard_platform.python_implementation()
    command = [sys.executable, "-c", "import platform; print(platform.python_version())"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert re.match(r"3\.\d+", done.stdout)


WIRE_NAMES = re.compile(
    r"Target-Instance|Not-Executed|Response-Signature|Deadline-Ms|Server-Load|Server-Leaving|pathPrefix"
    r"|trafficSplit|targetLatency|maxAttempts|coldRemaining|storeRevision|staleOk|waitMs"
    r"|healthPath|maxConnections|budgetRatio|internalPorts|/cassiahaven/",
    re.IGNORECASE,
)


def test_the_platforms_names_stay_in_the_adapter():
    sources = [
        path
        for package in ("core", "entry", "cli")
        for path in (ROOT / f"packages/cassiahaven-{package}").rglob("*.py")
        if "tests" not in path.parts
    ]
    assert sources
    found = {str(path.relative_to(ROOT)) for path in sources if WIRE_NAMES.search(path.read_text())}
    assert found == set()


@pytest.mark.parametrize(
    ("value", "rate_per_s"),
    [("1.1", 1.1), ("2", 2.0), ("0", 0.0), (" 3.25 ", 3.25), ("007.50", 7.5)],
)
def test_rate_limit_of_an_endpoint_is_read(value, rate_per_s):
    signal = head(200, Server_Limit=value)
    assert signal.rate_limit_per_s == rate_per_s
    assert signal.unreadable_rate_limit is None


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e3", "1,5", "1.1, 2", "two", "٣", "0x10", "9" * 400, "1."]
)
def test_rate_limit_that_cannot_be_read_tells_nothing(value):
    signal = head(200, Server_Limit=value)
    assert signal.rate_limit_per_s is None
    assert signal.unreadable_rate_limit == value


@pytest.mark.parametrize(
    ("status", "headers", "rate_per_s"),
    [
        (200, {}, float("inf")),
        (500, {}, None),
        (503, {"Not_Executed": "1"}, None),
        (503, {"Not_Executed": "1", "Server_Limit": "2"}, 2.0),
        (500, {"Server_Limit": "2"}, 2.0),
    ],
)
def test_only_a_success_without_a_rate_limit_ends_it(status, headers, rate_per_s):
    assert head(status, **headers).rate_limit_per_s == rate_per_s


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, {"Response_Signature": "s"}),
        (500, {}),
        (503, {"Not_Executed": "1"}),
        (429, {"Not_Executed": "1"}),
        (421, {"Instance_Id": "i-1"}),
        (503, {}),  # not proven to be the endpoint's own refusal, yet it says what it says
    ],
)
def test_answer_of_any_kind_tells_that_its_endpoint_leaves(status, headers):
    assert head(status, Server_Leaving="1", **headers).draining
    assert not head(status, **headers).draining
    assert not head(status, Server_Leaving="0", **headers).draining


def test_answer_of_another_endpoint_names_it():
    assert head(421, Instance_Id="i-9", Server_Leaving="1").instance == "i-9"


def test_health_check_tells_that_its_endpoint_leaves():
    dialect = PlatformUpstreams()
    leaving = {"server-leaving": "1", "instance-id": "i-1"}
    assert dialect.read_health(200, leaving, "i-1").is_leaving
    assert dialect.read_health(503, leaving, "i-1").is_leaving
    assert not dialect.read_health(200, {"instance-id": "i-1"}, "i-1").is_leaving
    # Another endpoint answers at this address.
    assert not dialect.read_health(503, leaving, "i-2").is_leaving


@pytest.mark.parametrize(
    ("status", "text", "closed_for_ms", "unreadable"),
    [
        (503, "1.5", 1500.0, None),
        (503, "soon", None, "soon"),
        (503, "-1", None, "-1"),
        (429, "2", None, None),  # only a 503 closes its endpoint
        (200, "2", None, None),
    ],
)
def test_only_a_503_with_a_number_closes_its_endpoint(status, text, closed_for_ms, unreadable):
    signal = head(status, Retry_After=text, Not_Executed="1")
    assert (signal.closed_for_ms, signal.unreadable_closure) == (closed_for_ms, unreadable)
    if status != 200:
        report = PlatformUpstreams().read_health(status, {"retry-after": text}, "i-1")
        assert (report.closed_for_ms, report.unreadable_closure) == (closed_for_ms, unreadable)


@pytest.mark.parametrize(("text", "cold_ms"), [("1500", 1500.0), ("0", 0.0), ("soon", None)])
@pytest.mark.parametrize("status", [200, 503])
def test_endpoint_tells_in_answers_and_health_checks_how_long_it_is_cold(status, text, cold_ms):
    # Guards against full load on an endpoint that became cold without a new registration.
    headers = {"cold-remaining-ms": text}
    assert PlatformUpstreams().read_head(status, headers, "r").cold_ms == cold_ms
    assert PlatformUpstreams().read_health(status, headers, "e").cold_ms == cold_ms
