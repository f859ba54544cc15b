"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric, SummaryMetricFamily

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
US_PER_MS = 1000.0
US_PER_S = 1_000_000.0


class LatencyHistograms:
    """Collect call latencies in one histogram per service."""

    __slots__ = ("histogram_by_service", "_sum_us_by_service")

    def __init__(self) -> None:
        self.histogram_by_service: dict[str, HdrHistogram] = {}
        self._sum_us_by_service: dict[str, float] = {}

    def record(self, service: str, took_ms: float) -> None:
        """Record a call that took ``took_ms`` milliseconds."""
        histogram = self.histogram_by_service.get(service)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histogram_by_service[service] = histogram
        took_us = took_ms * US_PER_MS
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(took_us))))
        self._sum_us_by_service[service] = self._sum_us_by_service.get(service, 0.0) + took_us

    def collect(self) -> Iterator[Metric]:
        """Yield the quantiles as a Prometheus summary."""
        family = SummaryMetricFamily(
            "cassiahaven_call_seconds", "Time from arrival to the answer's head", labels=["service"]
        )
        for service, histogram in self.histogram_by_service.items():
            count = histogram.get_total_count()
            total_s = self._sum_us_by_service[service] / US_PER_S
            family.add_metric([service], count_value=count, sum_value=total_s)
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile * 100) / US_PER_S
                labels = {"service": service, "quantile": str(quantile)}
                family.add_sample(family.name, labels, value_s)
        yield family


class PeerBytes:
    """Count the bytes of each class of message in one direction.

    The labelled counters are kept, as looking one up costs more than counting.
    """

    __slots__ = ("_counter", "_direction", "_counter_by_kind")

    def __init__(self, counter: Counter, direction: str) -> None:
        self._counter = counter
        self._direction = direction
        self._counter_by_kind: dict[str, Counter] = {}

    def count(self, kind: str, size: int) -> None:
        """Count a message of class ``kind``."""
        counter = self._counter_by_kind.get(kind)
        if counter is None:
            counter = self._counter.labels(kind, self._direction)
            self._counter_by_kind[kind] = counter
        counter.inc(size)


class Metrics:
    """All metrics of an entry process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = LatencyHistograms()
        self.registry.register(self.latency)
        self.calls = self._counter("calls", "Calls by outcome", "service", "partner", "outcome")
        self.refusals = self._counter("refusals", "Calls not run", "service", "reason")
        self.unknowns = self._counter("unknowns", "Calls of unknown outcome", "service", "reason")
        self.retries = self._counter("retries", "Further attempts", "service", "reason")
        self.retries_denied = self._counter("retries_denied", "Attempts not repeated", "service")
        self.probes = self._counter("probes", "Probes sent to upstreams", "service")
        self.answers = self._counter(
            "answers", "Answers of upstreams by how they were read", "framing", "connection", "end"
        )
        self.unexpected_bytes = self._counter(
            "unexpected_bytes", "Bytes of upstreams that no call was waiting for", "place"
        )
        self.request_bodies_rejected = self._counter(
            "request_bodies_rejected", "Request bodies that did not fit into memory", "size"
        )
        self.request_body_bytes = self._gauge(
            "request_body_bytes", "Memory reserved for request bodies"
        )
        self.peer_rejections = self._counter("peer_rejections", "Peers turned away", "reason")
        self.operator_rejections = self._counter(
            "operator_rejections", "Operator requests turned away", "reason"
        )
        self.store_calls = self._counter("store_calls", "Calls to the object store", "kind")
        peer_bytes = self._counter(
            "peer_bytes", "Bytes of messages between entries", "message", "direction"
        )
        self.peer_bytes_sent = PeerBytes(peer_bytes, "sent")
        self.peer_bytes_received = PeerBytes(peer_bytes, "received")
        self.kept_endpoints = self._gauge(
            "kept_endpoints", "Endpoints in use though their registration is gone"
        )
        self.leaving_endpoints = self._gauge(
            "leaving_endpoints", "Starts of endpoints that said in an answer that they leave"
        )
        self.closures = self._counter(
            "closures", "Answers in which endpoints wanted no requests for a time", "service"
        )
        self.unusable_closures = self._counter(
            "unusable_closures",
            "Such times that were ignored or shortened",
            "service",
            "handling",
        )
        self.closed_endpoints = self._gauge(
            "closed_endpoints", "Endpoints that want no requests for a time"
        )
        self.placed_again = self._counter(
            "placed_again", "Calls not sent, as their endpoint took no more calls", "service"
        )
        self.calls_leaving_zone = self._counter(
            "calls_leaving_zone", "Calls sent to another availability zone", "service", "reason"
        )
        self.bytes_leaving_zone = self._counter(
            "bytes_leaving_zone", "Bytes of request bodies sent to another zone", "service"
        )
        self.calls_to_rate_limited = self._counter(
            "calls_to_rate_limited", "Calls sent to endpoints that name a rate limit", "service"
        )
        self.unreadable_rate_limits = self._counter(
            "unreadable_rate_limits", "Answers with a rate limit that cannot be read", "service"
        )
        self.rate_limited_endpoints = self._gauge(
            "rate_limited_endpoints", "Endpoints that name a rate limit"
        )
        self.cold_endpoints = self._gauge(
            "cold_endpoints", "Endpoints whose calls are limited while they are cold"
        )
        self.calls_to_cold = self._counter(
            "calls_to_cold", "Calls and probes sent to such endpoints", "service", "kind"
        )
        self.accounts = self._gauge("accounts", "Client accounts in force")
        self.accounts_behind = self._gauge(
            "accounts_behind", "Client accounts that are served far less often than all together"
        )
        self.calls_not_sent = self._counter(
            "calls_not_sent", "Calls whose key was no longer valid when due", "service", "reason"
        )
        self.usage_cap_calls = self._counter(
            "usage_cap_calls", "Calls of accounts with usage caps by how they were decided", "state"
        )
        self.usage_claims_age = self._gauge(
            "usage_claims_age_seconds", "Age of the oldest claims of another entry that count"
        )
        self.evacuated_zones = self._gauge(
            "evacuated_zones", "Availability zones whose endpoints get no calls"
        )
        self.rejected_rows = self._gauge(
            "rejected_rows", "Rows of the configuration in force that cannot be used"
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"cassiahaven_{name}", text, registry=self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"cassiahaven_{name}", text, labels, registry=self.registry)
