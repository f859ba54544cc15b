"""Stand-in for a caller: gets addresses from an entry, caches them and connects to them."""

import json
import time
import uuid
from dataclasses import dataclass, field

import urllib3

ADDRESS_TIMEOUT_S = 1.0
MAX_SENDS = 4


class NoEntryAnswers(Exception):
    """No known entry responded to the address request."""


@dataclass(frozen=True, slots=True)
class CallerAddress:
    """An address that the caller may use; weight 0 marks a standby."""

    host: str
    port: int
    key_prefix: str
    weight: int = 1

    @property
    def url(self) -> str:
        """Return the base of the address's URLs."""
        return f"http://{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The result of a call.

    Attributes:
        outcome: Value of the ``Call-Outcome`` header, or why there was no response.
    """

    status: int
    outcome: str
    call_id: str
    body: bytes
    key: str | None = None
    sends: int = 1


@dataclass(slots=True)
class Caller:
    """Sends calls as one partner.

    Attributes:
        entries: Base URLs of entries to ask for addresses.
        token: Bearer token, ``None`` for the public partner.
        availability_zone: Availability zone of the caller.
    """

    entries: list[str]
    token: str | None = None
    availability_zone: str | None = None
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=32, num_pools=64)
    )
    _addresses_by_service: dict[str, tuple[float, list[CallerAddress]]] = field(
        default_factory=dict
    )
    _round_robin_index: int = 0
    _failed_urls: set[str] = field(default_factory=set)

    def addresses(self, service: str) -> list[CallerAddress]:
        """Return the cached addresses, requesting them again once their lifetime is over.

        Raises:
            NoEntryAnswers: No entry responded with addresses.
        """
        expires_at, addresses = self._addresses_by_service.get(service, (0.0, []))
        if time.monotonic() < expires_at and addresses:
            return addresses
        for entry in self.entries:
            asked_at = time.monotonic()
            payload = self._request_addresses(entry, service)
            if payload is not None and payload["addresses"]:
                addresses = [
                    CallerAddress(item["host"], item["port"], item["key_prefix"], item["weight"])
                    for item in payload["addresses"]
                ]
                expires_at = asked_at + payload["lifetime_ms"] / 1000
                self._addresses_by_service[service] = (expires_at, addresses)
                self._failed_urls.clear()
                return addresses
        raise NoEntryAnswers(service)

    def next_address(self, service: str) -> CallerAddress:
        """Return the active addresses in turn, or any address if all active ones have failed.

        Raises:
            NoEntryAnswers: No entry responded with addresses.
        """
        addresses = self.addresses(service)
        active = [item for item in addresses if item.weight and item.url not in self._failed_urls]
        self._round_robin_index += 1
        candidates = active or addresses
        return candidates[self._round_robin_index % len(candidates)]

    def forget(self, service: str) -> None:
        """Drop the cached addresses of a service."""
        self._addresses_by_service.pop(service, None)

    def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        key: str | None = None,
        timeout_ms: int = 5000,
        address: CallerAddress | None = None,
    ) -> CallerAnswer:
        """Send a call without retries."""
        if address is None:
            address = self.next_address(service)
        headers = {"Request-Timeout-Ms": str(timeout_ms)}
        if self.token is not None:
            headers["Authorization"] = f"Bearer {self.token}"
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            response = self.http.request(
                method,
                f"{address.url}/v1/call/{service}{path}",
                body=body,
                headers=headers,
                timeout=timeout_ms / 1000 + 1.0,
            )
        except urllib3.exceptions.HTTPError as error:
            connected = not isinstance(
                error,
                urllib3.exceptions.NewConnectionError | urllib3.exceptions.ConnectTimeoutError,
            )
            outcome = "lost" if connected else "not-connected"
            self._failed_urls.add(address.url)
            return CallerAnswer(0, f"{outcome}: {type(error).__name__}", "", b"", key)
        return CallerAnswer(
            response.status,
            response.headers.get("Call-Outcome", "none"),
            response.headers.get("Call-Id", ""),
            response.data,
            key,
        )

    def call_once(
        self, service: str, method: str, path: str, *, body: bytes, timeout_ms: int = 5000
    ) -> CallerAnswer:
        """Send a non-idempotent call with a key; retry until it ran or the sends are used up."""
        maker = self.next_address(service)
        key = f"{maker.key_prefix}~{uuid.uuid4().hex}"
        address = maker
        for sends in range(1, MAX_SENDS + 1):
            answer = self.call(
                service,
                method,
                path,
                body=body,
                key=key,
                timeout_ms=timeout_ms,
                address=address,
            )
            if answer.outcome == "ran" or sends == MAX_SENDS:
                break
            time.sleep(0.05 * sends)
            addresses = self.addresses(service)
            address = addresses[(self._round_robin_index + sends) % len(addresses)]
        return CallerAnswer(answer.status, answer.outcome, answer.call_id, answer.body, key, sends)

    def _request_addresses(self, entry: str, service: str) -> dict | None:
        headers = {}
        if self.availability_zone is not None:
            headers["Availability-Zone"] = self.availability_zone
        try:
            response = self.http.request(
                "GET",
                f"{entry}/v1/addresses/{service}",
                headers=headers,
                timeout=ADDRESS_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(response.data) if response.status == 200 else None
