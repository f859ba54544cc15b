"""A small deployment on one machine, for the demo, tests and benchmarks."""

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3
import yaml

from cassiahaven_standins.caller import Caller

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_S = 0.02
PEER_KEY = "peer-key-of-the-demo-only"
OPERATOR_KEY = "operator-key-of-the-demo-only"
CLUSTER = "demo"
_PORTS = iter(range(12_000 + os.getpid() % 190 * 100, 32_000))


def free_port() -> int:
    """Return a port that nothing listens on and that was not returned before.

    The ports lie below the range that the system assigns to outgoing connections.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) != 0:
                return port
    raise RuntimeError("no free port is left")


def token_of(partner: str) -> str:
    """Return the bearer token of a partner in the demo."""
    return f"token-of-{partner}"


def wait_until(condition: Callable[[], Any], what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
    """Poll ``condition`` and return its first true value.

    Raises:
        TimeoutError: The condition did not become true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"waited {timeout_s} s for: {what}")


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """Settings of a service and the number and speed of its endpoints."""

    name: str
    endpoints: int = 3
    slots: int = 3
    service_ms: float = 5.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    public: bool = True
    timeout_ms: int = 5000


@dataclass(slots=True)
class Member:
    """One process of the deployment."""

    name: str
    process: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    incarnation: str = "1"
    settings: Path | None = None

    @property
    def url(self) -> str:
        """Return the base of the process's URLs."""
        return f"http://{HOST}:{self.port}"


@dataclass(slots=True)
class Fleet:
    """A deployment and its processes.

    Attributes:
        folder: Folder for settings and logs.
        service_by_name: Services of the deployment.
        partners: Names of the partners, whose tokens ``token_of`` makes.
        zones: Availability zones, assigned to entries and to endpoints in turn.
        address_lifetime_ms: How long callers may cache the addresses of a service.
        leaving: Names of the upstreams and entries that the VM list reports as leaving.
    """

    folder: Path
    service_by_name: dict[str, ServicePlan]
    partners: tuple[str, ...] = ("parish", "printer")
    zones: tuple[str, ...] = ("zone-a",)
    address_lifetime_ms: int = 500
    entry_by_name: dict[str, Member] = field(default_factory=dict)
    upstream_by_name: dict[str, Member] = field(default_factory=dict)
    store: Member | None = None
    vm_list: Member | None = None
    leaving: set[str] = field(default_factory=set)
    plan_by_upstream: dict[str, ServicePlan] = field(default_factory=dict)
    http: urllib3.PoolManager = field(default_factory=lambda: urllib3.PoolManager(retries=False))

    def start(self, *, entries: int) -> None:
        """Start all processes and wait until each entry knows its peers and endpoints."""
        self.store = self._spawn_stand_in("store", "object_store")
        self.vm_list = self._spawn_stand_in("vm-list", "vm_list")
        for plan in self.service_by_name.values():
            for number in range(1, plan.endpoints + 1):
                self.start_upstream(f"{plan.name}-{number}", plan)
        for number in range(1, entries + 1):
            self.start_entry(f"entry-{number}")
        for member in [self.store, self.vm_list, *self.upstream_by_name.values()]:
            wait_until(lambda member=member: self._listens(member.port), f"{member.name} listens")
        self.publish_vms()
        wait_until(self.is_settled, "all entries know each other and the endpoints")

    def start_upstream(self, name: str, plan: ServicePlan) -> Member:
        """Start an endpoint, or restart it on its port as a new incarnation."""
        known = self.upstream_by_name.get(name)
        port = known.port if known else free_port()
        incarnation = str(int(known.incarnation) + 1) if known else "1"
        arguments = ["--name", name, "--port", str(port), "--log", str(self.folder / "ran.log")]
        arguments += ["--slots", str(plan.slots), "--service_ms", str(plan.service_ms)]
        process = self._spawn(name, "cassiahaven_standins.upstream", arguments)
        member = Member(name, process, port, incarnation=incarnation)
        self.upstream_by_name[name] = member
        self.plan_by_upstream[name] = plan
        self.leaving.discard(name)
        return member

    def start_entry(self, name: str) -> Member:
        """Start an entry, or restart it on its ports."""
        known = self.entry_by_name.get(name)
        ports = (
            (known.port, known.operator_port, known.peer_port)
            if known
            else (free_port(), free_port(), free_port())
        )
        index = len(self.entry_by_name) if known is None else list(self.entry_by_name).index(name)
        settings = self.folder / f"{name}.yaml"
        settings.write_text(yaml.safe_dump(self._settings(name, index, ports)))
        process = self._spawn(
            name, "cassiahaven_entry.main", ["--settings", str(settings)], log=name
        )
        member = Member(name, process, *ports, settings=settings)
        self.entry_by_name[name] = member
        return member

    def publish_vms(self) -> None:
        """Publish the current VMs to the VM list."""
        vms = [
            self._vm(member, "upstream", member.port) for member in self.upstream_by_name.values()
        ]
        vms += [
            self._vm(member, "entry", member.peer_port) for member in self.entry_by_name.values()
        ]
        self.post(f"{self.vm_list.url}/vms", vms)

    def is_settled(self) -> bool:
        """Return whether every running entry knows all running entries and all endpoints."""
        running = [item for item in self.entry_by_name.values() if item.process.poll() is None]
        for member in running:
            status = self.status(member)
            if status is None or len(status["entries"]) != len(running):
                return False
            known = sum(len(item["endpoints"]) for item in status["services"].values())
            if known != len(self.upstream_by_name):
                return False
        return True

    def status(self, member: Member) -> dict | None:
        """Return an entry's status, or ``None`` if it does not respond."""
        return self.operator_get(member, "/v1/status")

    def operator_get(self, member: Member, path: str) -> Any:
        """Send an operator's GET request; return the JSON response, or ``None`` on failure."""
        try:
            response = self.http.request(
                "GET",
                f"http://{HOST}:{member.operator_port}{path}",
                headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(response.data) if response.status == 200 else None

    def post(self, url: str, value: Any) -> None:
        """Post ``value`` as JSON."""
        self.http.request("POST", url, body=json.dumps(value).encode(), timeout=5.0)

    def store_faults(self, **faults: Any) -> None:
        """Set faults of the object store."""
        self.post(f"{self.store.url}/faults", faults)

    def upstream_faults(self, name: str, **faults: Any) -> None:
        """Set faults of an endpoint."""
        self.post(f"{self.upstream_by_name[name].url}/faults", faults)

    def caller(self, partner: str | None = None) -> Caller:
        """Return a caller that acts for ``partner``."""
        token = token_of(partner) if partner else None
        return Caller([member.url for member in self.entry_by_name.values()], token)

    def ran(self) -> list[dict]:
        """Return the endpoints' log records, one for each call or health check that was run."""
        log = self.folder / "ran.log"
        if not log.exists():
            return []
        return [json.loads(line) for line in log.read_text().splitlines()]

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Send a signal to a process of the deployment."""
        os.kill(member.process.pid, number)

    def stop(self) -> None:
        """Kill every process."""
        members = [*self.entry_by_name.values(), *self.upstream_by_name.values()]
        for member in [*members, self.store, self.vm_list]:
            if member is not None and member.process.poll() is None:
                self.signal(member, signal.SIGCONT)
                member.process.kill()
                member.process.wait()

    def _vm(self, member: Member, role: str, port: int) -> dict:
        plan = self.plan_by_upstream.get(member.name)
        members = self.upstream_by_name if role == "upstream" else self.entry_by_name
        zone = self.zones[list(members).index(member.name) % len(self.zones)]
        return {
            "name": member.name,
            "role": role,
            "incarnation": member.incarnation,
            "availability_zone": zone,
            "host": HOST,
            "port": port,
            "service": plan.name if plan else "",
            "slots": plan.slots if plan else 1,
            "leaving": member.name in self.leaving,
        }

    def _settings(self, name: str, index: int, ports: tuple[int, int, int]) -> dict:
        caller_port, operator_port, peer_port = ports
        return {
            "cluster": CLUSTER,
            "entry": {
                "name": name,
                "availability_zone": self.zones[index % len(self.zones)],
                "host": HOST,
                "caller_port": caller_port,
                "operator_port": operator_port,
                "peer_port": peer_port,
                "address_lifetime_ms": self.address_lifetime_ms,
                "log_file": str(self.folder / f"{name}.log"),
            },
            "platform": {"store": self.store.url, "vm_list": self.vm_list.url},
            "keys": {"peer": PEER_KEY, "operator": OPERATOR_KEY},
            "availability_zones": [{"name": zone} for zone in self.zones],
            "services": [
                {
                    "name": plan.name,
                    "idempotent_methods": list(plan.idempotent_methods),
                    "public": plan.public,
                    "timeout_ms": plan.timeout_ms,
                }
                for plan in self.service_by_name.values()
            ],
            "partners": [
                {
                    "name": partner,
                    "token_sha256": hashlib.sha256(token_of(partner).encode()).hexdigest(),
                }
                for partner in self.partners
            ],
        }

    def _spawn_stand_in(self, name: str, module: str) -> Member:
        port = free_port()
        process = self._spawn(name, f"cassiahaven_standins.{module}", ["--port", str(port)])
        return Member(name, process, port)

    def _spawn(
        self, name: str, module: str, arguments: list[str], *, log: str | None = None
    ) -> subprocess.Popen:
        errors = self.folder / f"{log or name}.err"
        with errors.open("a") as sink:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=sink,
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )

    def _listens(self, port: int) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((HOST, port)) == 0


@contextmanager
def running_fleet(
    folder: Path, services: list[ServicePlan], *, entries: int = 3, **options: Any
) -> Iterator[Fleet]:
    """Run a deployment until the block ends."""
    fleet = Fleet(folder, {plan.name: plan for plan in services}, **options)
    try:
        fleet.start(entries=entries)
        yield fleet
    finally:
        fleet.stop()
