"""Real entry processes, run against stand-ins of the platform."""

import http.client
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from cassiahaven_standins.fleet import free_port, wait_until
from cassiahaven_standins.link_proxy import LinkProxy
from cassiahaven_standins.platform_endpoint import PlatformEndpoint
from cassiahaven_standins.platform_store import PlatformStore

ZONES = ("a", "b")
GRACE_MS = 2500
MEMORY_MB = 300
ACCOUNT_COLUMNS = ("name", "apiKeys", "priority", "ratePerS", "burst")


class Entry:
    """One entry process with a settings file in the platform's format."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: Path,
        *,
        grace_ms: int = GRACE_MS,
        python: str = sys.executable,
        bounds: Sequence[str] = (),
    ) -> None:
        self.name = name
        self._bounds = bounds
        self.zone = zone
        self._grace_ms = grace_ms
        self._python = python
        self._path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        front, ready, directory, peers, self.metrics_port = (free_port() for _ in range(5))
        self.peer_port = peers
        self.front_port, self.ready_port, self.directory_port = front, ready, directory
        self._path.write_text(json.dumps(self._settings(store, peers)))
        self.process: subprocess.Popen | None = None

    def _settings(self, store: str, peers: int) -> dict[str, Any]:
        return {
            "node": self.name,
            "ip": "127.0.0.1",
            "zone": self.zone,
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": {
                "front": f"127.0.0.1:{self.front_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
                "directory": f"127.0.0.1:{self.directory_port}",
            },
            "internalPorts": [peers, peers],
            "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": MEMORY_MB},
            "bounds": [
                "ttl_max=5s",
                f"grace={self._grace_ms}ms",
                "budgetRatio=0.2",
                "budgetWindow=10s",
                "budgetSlack=60",
                "probesPerS=60",
                *self._bounds,
            ],
            "platform": {"address": store},
        }

    def start(self) -> None:
        """Start the process."""
        environment = os.environ | {
            "CASSIAHAVEN_CONFIG": str(self._path),
            "EVENTLET_NO_GREENDNS": "yes",
            "CASSIAHAVEN_METRICS_PORT": str(self.metrics_port),
        }
        command = [self._python, "-m", "cassiahaven_entry.routed_main", "cassiahaven_platform"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    @property
    def operator_port(self) -> int:
        """Return the operators' port, which also serves the metrics."""
        return self.metrics_port

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the entry's readiness check succeeds."""
        return self.http_get(self.ready_port, "/cassiahaven/readiness")[0] == 200

    def lookup(self, host: str, zone: str) -> list[str]:
        """Return the addresses that the directory lists for a host in a zone."""
        target = f"/cassiahaven/lookup?name={host}&region=region&zone={zone}"
        status, body = self.http_get(self.directory_port, target)
        return json.loads(body)["addresses"] if status == 200 else []

    def http_get(self, port: int, target: str) -> tuple[int, bytes]:
        """Send a GET request and return status and body; status 0 means no response."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log records of an event."""
        lines = self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in records if line.get("event") == name]

    def close(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class PlatformFleet:
    """A store, endpoints and entries, with the operator's actions on them.

    Args:
        has_proxies: Whether each entry reaches the store through a proxy.
        has_peer_proxies: Whether the other entries reach each entry through a proxy.
        python: Interpreter of the entries.
        bounds: Further bounds in the entries' settings, such as ``failClosed=true``.
    """

    def __init__(
        self,
        folder: Path,
        *,
        entries: int = 2,
        has_proxies: bool = False,
        has_peer_proxies: bool = False,
        grace_ms: int = GRACE_MS,
        python: str = sys.executable,
        bounds: Sequence[str] = (),
    ) -> None:
        self.store = PlatformStore()
        host, _, port = self.store.address.partition(":")
        # Each entry reaches the store through its own proxy, so that faults can be set per entry.
        self.proxies = [LinkProxy((host, int(port))) for _ in range(entries if has_proxies else 0)]
        self.endpoint_by_name: dict[str, PlatformEndpoint] = {}
        self.entries = [
            Entry(
                f"edge-{ZONES[n % len(ZONES)]}-{n}",
                ZONES[n % len(ZONES)],
                self.proxies[n].address if self.proxies else self.store.address,
                folder,
                grace_ms=grace_ms,
                python=python,
                bounds=bounds,
            )
            for n in range(entries)
        ]
        self.peer_proxy_by_address = {
            f"127.0.0.1:{entry.peer_port}": LinkProxy(("127.0.0.1", entry.peer_port))
            for entry in (self.entries if has_peer_proxies else [])
        }
        self.store.state.accept = self._announce_peer_proxies
        self.version = 0

    def _announce_peer_proxies(self, kind: str, spec: Any) -> Any:
        proxy = self.peer_proxy_by_address.get(spec.get("peers", "")) if spec else None
        return spec | {"peers": proxy.address} if proxy else spec

    @property
    def entry_by_name(self) -> dict[str, Entry]:
        """Return the entries by name."""
        return {entry.name: entry for entry in self.entries}

    def add_endpoint(self, name: str, service: str, zone: str = "a") -> PlatformEndpoint:
        """Start and register an endpoint."""
        endpoint = PlatformEndpoint(name, service, zone)
        self.endpoint_by_name[name] = endpoint
        self.store.state.put("servers", name, endpoint.registration())
        return endpoint

    def evacuate(self, zone: str) -> None:
        """Store the evacuation of a zone."""
        self.store.state.put("evacuations", zone, {})

    def drain(self, name: str) -> None:
        """Register an endpoint as draining."""
        registration = self.endpoint_by_name[name].registration("draining")
        self.store.state.put("servers", name, registration)

    def configure(
        self,
        service_by_prefix: dict[str, str],
        *,
        timeout_ms: int = 2000,
        target_ms: int = 300,
        largest_body_bytes: int = 1_000_000,
        accounts: list[list[Any]] | None = None,
        anonymous: frozenset[str] = frozenset(),
        cold_start_ms: int = 0,
        cold_per_s: float = 0.0,
    ) -> int:
        """Store a configuration with a route of each kind for each prefix.

        Args:
            service_by_prefix: Service of the routes of each prefix.
            timeout_ms: Timeout of each route.
            target_ms: Target latency of each route.
            largest_body_bytes: Largest body that callers may send.
            accounts: Rows of the table of client accounts, ``None`` for no such table.
            anonymous: Prefixes whose routes need no key.
            cold_start_ms: Time for which endpoints are cold after their start.
            cold_per_s: Calls a second that a cold endpoint bears, 0 for no limit.
        """
        self.version += 3
        columns = [
            *("name", "hostname", "pathPrefix", "kind", "timeout"),
            *("targetLatency", "priority", "maxAttempts", "service"),
            "allowAnonymous",
        ]
        rows = [
            [
                f"r-{kind}-{prefix}",
                "h.example",
                f"/{kind}/{prefix}/",
                kind,
                f"{timeout_ms}ms",
                f"{target_ms}ms",
                1,
                2,
                service,
                prefix in anonymous,
            ]
            for prefix, service in service_by_prefix.items()
            for kind in ("safe", "unsafe", "download")
        ]
        services = sorted(set(service_by_prefix.values()))
        spec = {
            "version": self.version,
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": [
                    *("name", "healthPath", "maxConnections", "protocol", "tls"),
                    *("coldStart", "coldPerS"),
                ],
                "rows": [
                    [name, "/health", 240, "h1", False, f"{cold_start_ms}ms", cold_per_s]
                    for name in services
                ],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": largest_body_bytes,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
        if accounts is not None:
            spec["tenants"] = {"columns": list(ACCOUNT_COLUMNS), "rows": accounts}
        return self.store.state.put("config", "main", spec)

    def start(self) -> None:
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            entry.start()
        wait_until(lambda: all(entry.is_ready() for entry in self.entries), "entries are ready")

    def call(
        self,
        entry: Entry,
        method: str,
        target: str,
        *,
        request: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a call and return status, body and headers; status 0 means a broken connection."""
        connection = http.client.HTTPConnection("127.0.0.1", entry.front_port, timeout=10)
        sent_headers = {
            "Host": "h.example",
            "Request-Id": request,
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        try:
            connection.request(method, target, body=body or None, headers=sent_headers)
            response = connection.getresponse()
            return response.status, response.read(), dict(response.getheaders())
        except (OSError, http.client.HTTPException):
            return 0, b"", {}
        finally:
            connection.close()

    def run_count(self, request: str) -> int:
        """Return how many times the endpoints ran a request."""
        return sum(
            ran == request
            for endpoint in self.endpoint_by_name.values()
            for ran, _, _ in endpoint.state.ran
        )

    def close(self) -> None:
        """Stop all entries, proxies, endpoints and the store."""
        for entry in self.entries:
            entry.close()
        for proxy in [*self.proxies, *self.peer_proxy_by_address.values()]:
            proxy.close()
        for endpoint in self.endpoint_by_name.values():
            endpoint.close()
        self.store.close()


@contextmanager
def platform_fleet(folder: Path, **options: Any) -> Iterator[PlatformFleet]:
    """Run a fleet against stand-ins of the platform until the block ends."""
    fleet = PlatformFleet(folder, **options)
    try:
        yield fleet
    finally:
        fleet.close()
