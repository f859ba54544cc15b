"""Peer links within a fleet: each entry subscribes to a few entries that watch the store."""

from collections.abc import Callable, Collection, Mapping

import eventlet

from cassiahaven_core.edge import Topic
from cassiahaven_core.membership import REPORT_TIMEOUT_MS, Fleet, Member
from cassiahaven_core.peer_message import (
    CrashNotice,
    Encoded,
    MemberPulse,
    MemberReport,
    PeerMessage,
    RateLimitNotice,
    RateLimitNotices,
    ReportRequest,
    StateNews,
    StateRequest,
    UsageClaims,
    UsageJoined,
    UsageNews,
    WatcherPulse,
    WatcherReport,
    WatcherReportChange,
    encode_once,
)
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.watcher_report import ReportMessage, ReportPublisher, ReportReplica
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.peer_dialer import PeerDialer
from cassiahaven_entry.peer_handler import PeerSubscribers
from cassiahaven_entry.peer_server import PeerServer
from cassiahaven_entry.supervisor import spawn_supervised
from cassiahaven_entry.usage_exchange import UsageExchange

REPORT_INTERVAL_MS = 500.0
UNREACHABLE_MS = 3000.0  # an entry restarts within this time
COALESCE_MS = 100.0  # coalesces bursts of changes; 1/20 of the time a change may take to spread
REQUEST_TIMEOUT_MS = 400.0
AHEAD_MS = 1000.0  # a watcher that reads the store is no further behind than this
START_INTERVAL_MS = 10.0  # until the members are known, so that a start takes no longer
NEAR_WATCHER_HEAD_START_MS = 250.0  # half the report interval; traffic between zones is billed
MAX_ENCODED_REPLIES = 16
# Operators are shown which entries have these in force.
REPORTED_TOPICS = (Topic.CONFIGURATION.value, Topic.TABLES.value)
CLUSTER = "fleet"


class LinkCallbacks:
    """Callbacks that connect the links to the state of the node.

    Args:
        report: Returns the report for subscribers.
        versions: Returns the local version of each topic, by topic name.
        state_request: Returns the request for the newest state of a topic.
        state_update: Returns the reply to a state request.
        on_state_update: Called with a state update and the name of the watcher that sent it.
        on_crash: Called with each notice of a request that crashed an endpoint.
        on_rate_limit: Called with each notice of another rate limit of an endpoint.

    Attributes:
        usage: Exchange of claims on usage caps, ``None`` if the deployment has no such caps.
    """

    __slots__ = (
        "report",
        "versions",
        "state_request",
        "state_update",
        "on_state_update",
        "on_crash",
        "on_rate_limit",
        "usage",
    )

    def __init__(
        self,
        *,
        report: Callable[[], WatcherReport],
        versions: Callable[[], dict[str, StoreVersion]],
        state_request: Callable[[str], StateRequest],
        state_update: Callable[[StateRequest], StateNews],
        on_state_update: Callable[[StateNews, str], None],
        on_crash: Callable[[CrashNotice], None],
        on_rate_limit: Callable[[RateLimitNotice], None],
    ) -> None:
        self.report = report
        self.versions = versions
        self.state_request = state_request
        self.state_update = state_update
        self.on_state_update = on_state_update
        self.on_crash = on_crash
        self.on_rate_limit = on_rate_limit
        self.usage: UsageExchange | None = None


class StateRequestPacer:
    """Limit requests for newer topic state to one watcher at a time.

    All subscribers learn of a change at once and from every watcher. To avoid a burst of duplicate
    requests, each asks a single watcher, preferably one in its own availability zone.
    """

    __slots__ = ("_requested_ms_by_topic", "_outdated_since_ms_by_topic")

    def __init__(self) -> None:
        self._requested_ms_by_topic: dict[str, float] = {}
        self._outdated_since_ms_by_topic: dict[str, float] = {}

    def is_due(self, topic: str, *, prefers_another: bool, now_ms: float) -> bool:
        """Return whether to request ``topic`` from a watcher now; if so, record the request.

        Args:
            topic: Name of the topic.
            prefers_another: Whether a watcher in the own availability zone is connected instead.
            now_ms: Current time, milliseconds.
        """
        since_ms = self._outdated_since_ms_by_topic.setdefault(topic, now_ms)
        if prefers_another and now_ms - since_ms < NEAR_WATCHER_HEAD_START_MS:
            return False
        if now_ms - self._requested_ms_by_topic.get(topic, float("-inf")) <= REQUEST_TIMEOUT_MS:
            return False
        self._requested_ms_by_topic[topic] = now_ms
        return True

    def mark_answered(self, topic: str) -> None:
        """Forget the pending request for ``topic`` after a reply."""
        self._requested_ms_by_topic.pop(topic, None)
        self._outdated_since_ms_by_topic.pop(topic, None)


class WatcherLink(PeerDialer):
    """Subscribe to one watcher: report to it, track live entries and request newer state."""

    def __init__(
        self,
        member: Member,
        key: str,
        fleet: Fleet,
        state: LinkCallbacks,
        request_pacer: StateRequestPacer,
        has_near_link: Callable[[], bool],
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__(
            member.name, f"ws://{member.peers}", cluster=CLUSTER, key=key, metrics=metrics
        )
        self.failed_ms = float("-inf")
        self.is_near = member.availability_zone == fleet.own.availability_zone
        self._fleet = fleet
        self._state = state
        self._request_pacer = request_pacer
        self._has_near_link = has_near_link
        self._replica = ReportReplica()
        self._report_requested_ms = float("-inf")
        self._ahead_by_topic: dict[str, tuple[StoreVersion, float]] = {}
        self._reported: tuple[bool, dict[str, StoreVersion]] | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the link is connected."""
        return self._connection is not None

    @property
    def has_failed(self) -> bool:
        """Return whether the link was lost or could not be opened."""
        return self.failed_ms > float("-inf")

    def report(self, is_draining: bool) -> None:
        """Tell the watcher what changed since the last report, or that this entry is alive."""
        versions = self._state.versions()
        versions = {topic: versions[topic] for topic in REPORTED_TOPICS if topic in versions}
        if (is_draining, versions) == self._reported:
            self.send(MemberPulse())
            return
        known = {} if self._reported is None else self._reported[1]
        changed = {topic: item for topic, item in versions.items() if item != known.get(topic)}
        if self.send(MemberReport(self._fleet.own.name, is_draining, changed)):
            self._reported = (is_draining, versions)

    def drop_if_silent(self) -> None:
        """Drop the connection if the watcher has been silent for too long."""
        view = self._fleet.view_by_watcher.get(self.name)
        if self._connection is None or view is None:
            return
        if now_ms() - view.last_message_ms > REPORT_TIMEOUT_MS:
            self.failed_ms = now_ms()
            # Skip the closing handshake: the peer may be unreachable.
            self._connection.close_socket()

    def _options(self) -> dict[str, float | None]:
        return {"ping_interval": None}

    def _on_failure(self, error: Exception) -> None:
        self.failed_ms = now_ms()

    def _on_connected(self) -> None:
        self._replica.reset()
        self._report_requested_ms = float("-inf")
        self._reported = None
        self.report(self._fleet.own.name in self._fleet.draining)
        if self._state.usage is not None:
            self._state.usage.report_all()

    def _on_disconnected(self) -> None:
        self.failed_ms = now_ms()
        self._fleet.discard_watcher_report(self.name)

    def _receive(self, message: PeerMessage) -> None:
        usage = self._state.usage
        if usage is not None:
            usage.note_watcher()
        match message:
            case WatcherReport() | WatcherReportChange() | WatcherPulse():
                self._apply_report(message)
            case UsageClaims() | UsageJoined() | UsageNews():
                if usage is not None:
                    usage.receive_from_watcher(message)
            case StateNews(topic=topic):
                self._request_pacer.mark_answered(topic)
                self._state.on_state_update(message, self.name)
            case CrashNotice():
                self._state.on_crash(message)
            case RateLimitNotices(notices=notices):
                for notice in notices:
                    self._state.on_rate_limit(notice)

    def _apply_report(self, message: ReportMessage) -> None:
        before = self._replica.report
        is_full_needed = self._replica.apply(message)
        report = self._replica.report
        if report is not before:
            self._fleet.record_watcher_report(
                self.name,
                live=report.live,
                draining=report.draining,
                store_age_ms=report.store_age_ms,
                now_ms=now_ms(),
                starting=report.starting,
            )
        else:
            self._fleet.record_watcher_heartbeat(
                self.name, store_age_ms=message.store_age_ms, now_ms=now_ms()
            )
        if is_full_needed and now_ms() - self._report_requested_ms > REQUEST_TIMEOUT_MS:
            self._report_requested_ms = now_ms()
            self.send(ReportRequest())
        self._request_outdated_topics()

    def _request_outdated_topics(self) -> None:
        if self._replica.report is None:
            return
        own = self._state.versions()
        prefers_another = not self.is_near and self._has_near_link()
        for topic, version in self._replica.report.version_by_topic.items():
            if topic not in own:
                continue  # this entry does not follow the topic
            is_due = version > own[topic] and self._request_pacer.is_due(
                topic, prefers_another=prefers_another, now_ms=now_ms()
            )
            if is_due or self._is_check_due(topic, version, own[topic]):
                self.send(self._state.state_request(topic))

    def _is_check_due(self, topic: str, version: StoreVersion, own: StoreVersion) -> bool:
        """Return whether to compare items once, as the watcher stays at an older version."""
        if version >= own or topic == Topic.CONFIGURATION.value:
            self._ahead_by_topic.pop(topic, None)
            return False
        known, since_ms = self._ahead_by_topic.get(topic, (None, 0.0))
        if known != own:
            self._ahead_by_topic[topic] = (own, now_ms())
            return False
        if now_ms() - since_ms < AHEAD_MS:
            return False
        self._ahead_by_topic[topic] = (own, float("inf"))
        return True


class FleetLinks(PeerSubscribers):
    """Manage the links to watchers and the links from subscribers.

    Args:
        fleet: Members and their liveness.
        state: Callbacks to the state of the node.
        key: Shared key of the links.
        metrics: Counters.
    """

    def __init__(self, fleet: Fleet, state: LinkCallbacks, *, key: str, metrics: Metrics) -> None:
        self.link_by_name: dict[str, WatcherLink] = {}
        self._fleet = fleet
        self._state = state
        self._key = key
        self._name_by_connection: dict[str, str] = {}
        self._metrics = metrics
        self._reports = ReportPublisher()
        self._published_ms = float("-inf")
        self._is_report_due = False
        self._waiting_notices: dict[tuple[str, str], RateLimitNotice] = {}
        self._request_pacer = StateRequestPacer()
        self._encoded_replies: dict[tuple[StateRequest, StoreVersion], Encoded] = {}
        host, _, port = fleet.own.peers.rpartition(":")
        self._server = PeerServer(
            host,
            int(port),
            cluster=CLUSTER,
            key=key,
            handler=self,
            metrics=metrics,
            ping_interval=None,
        )

    @property
    def name_by_connection(self) -> Mapping[str, str]:
        """Return the names of the subscribers by connection."""
        return self._name_by_connection

    @property
    def has_subscribers(self) -> bool:
        """Return whether any entry subscribes to this one."""
        return bool(self._name_by_connection)

    def serve(self) -> None:
        """Accept links from other entries until the process ends."""
        self._server.run()

    def run(self) -> None:
        """Maintain the links and report to watchers and subscribers until the process ends."""
        while True:
            self._follow_watchers()
            is_draining = self._fleet.own.name in self._fleet.draining
            for link in self.link_by_name.values():
                link.drop_if_silent()
                link.report(is_draining)
            self.publish_report()
            self._await_next_report()

    def _await_next_report(self) -> None:
        """Sleep until the next report, or until the members become known: then links are due."""
        due_ms = now_ms() + REPORT_INTERVAL_MS
        while not self._fleet.has_members and now_ms() < due_ms:
            eventlet.sleep(START_INTERVAL_MS / MS_PER_S)
            if self._fleet.has_members:
                return
        eventlet.sleep(max(0.0, due_ms - now_ms()) / MS_PER_S)

    def publish_report(self) -> None:
        """Publish a report to subscribers, coalescing reports that follow each other closely."""
        if self._is_report_due:
            return
        wait_ms = self._published_ms + COALESCE_MS - now_ms()
        if wait_ms <= 0:
            self._publish_report()
            return
        self._is_report_due = True
        eventlet.spawn_after(wait_ms / MS_PER_S, self._publish_report)

    def _publish_report(self) -> None:
        self._is_report_due = False
        if not self.has_subscribers:
            return
        self._published_ms = now_ms()
        self._server.publish(self._reports.advance(self._state.report()))

    def report(self) -> None:
        """Tell the watchers at once what changed at this entry."""
        is_draining = self._fleet.own.name in self._fleet.draining
        for link in self.link_by_name.values():
            link.report(is_draining)

    def publish(self, message: PeerMessage) -> None:
        """Send ``message`` to all subscribers and watchers."""
        self._server.publish(message)
        for link in self.link_by_name.values():
            link.send(message)

    def send_to_watchers(self, message: PeerMessage) -> None:
        """Send ``message`` to all watchers."""
        for link in self.link_by_name.values():
            link.send(message)

    def send_to_subscribers(self, message: PeerMessage, connections: Collection[str]) -> None:
        """Send ``message`` to the subscribers of some connections."""
        self._server.send_to(message, connections)

    def publish_rate_limit(self, notice: RateLimitNotice) -> None:
        """Send a notice to all watchers, and to all subscribers together with others."""
        for link in self.link_by_name.values():
            link.send(RateLimitNotices([notice]))
        self._publish_later(notice)

    def _publish_later(self, notice: RateLimitNotice) -> None:
        # The limits of a service's endpoints often change at once.
        if not self._waiting_notices:
            eventlet.spawn_after(COALESCE_MS / MS_PER_S, self._publish_notices)
        self._waiting_notices[notice.service, notice.endpoint] = notice

    def _publish_notices(self) -> None:
        notices = list(self._waiting_notices.values())
        self._waiting_notices.clear()
        self._server.publish(RateLimitNotices(notices))

    def close(self) -> None:
        """Drop all links without closing handshakes.

        Handshakes with every subscriber would exceed the time left for shutdown.
        """
        for link in self.link_by_name.values():
            link.drop()
        self._server.drop()

    def greeting(self) -> list[PeerMessage]:
        """Return the messages for a new subscriber.

        The report is the last published one, since the next change applies to that.
        """
        return [self._full_report()]

    def receive(self, connection: str, message: PeerMessage) -> list[PeerMessage | Encoded]:
        """Handle a message of a subscriber and return the replies."""
        match message:
            case MemberReport(name=name, is_draining=is_draining, version_by_topic=versions):
                is_changed = connection not in self._name_by_connection
                is_changed |= is_draining != (name in self._fleet.draining)
                is_changed |= name in self._fleet.own_starting(now_ms())
                self._name_by_connection[connection] = name
                self._fleet.record_report(
                    name, is_draining=is_draining, now_ms=now_ms(), version_by_topic=versions
                )
                if is_changed:
                    self.publish_report()
            case MemberPulse():
                name = self._name_by_connection.get(connection)
                if name is not None:
                    self._fleet.record_heartbeat(name, now_ms())
            case ReportRequest():
                return [self._full_report()]
            case StateRequest():
                return [self._encoded_reply(message)]
            case CrashNotice():
                self._state.on_crash(message)
                self._server.publish(message)
            case RateLimitNotices(notices=notices):
                for notice in notices:
                    self._state.on_rate_limit(notice)
                    self._publish_later(notice)
            case UsageClaims() if self._state.usage is not None:
                return list(self._state.usage.receive(connection, message))
        return []

    def on_disconnected(self, connection: str) -> None:
        """Handle the end of a subscriber's connection."""
        name = self._name_by_connection.pop(connection, None)
        if self._state.usage is not None:
            self._state.usage.forget(connection)
        if name is not None and name not in self._name_by_connection.values():
            self._fleet.discard_report(name)
            log(LogEvent.PEER_LOST, peer=name)
            self.publish_report()

    def _full_report(self) -> WatcherReport:
        report = self._state.report()
        if self._reports.published is None or not self.has_subscribers:
            # Nothing is published without subscribers, so the last report may be old.
            self._reports.advance(report)
        return self._reports.full(report.store_age_ms)

    def _encoded_reply(self, request: StateRequest) -> Encoded:
        # All subscribers send the same request at about the same time: encode the reply once.
        key = (request, self._state.versions()[request.topic])
        encoded = self._encoded_replies.get(key)
        if encoded is None:
            if len(self._encoded_replies) >= MAX_ENCODED_REPLIES:
                self._encoded_replies.clear()
            encoded = self._encoded_replies[key] = encode_once(self._state.state_update(request))
        return encoded

    def _has_near_link(self) -> bool:
        # A link that is being opened counts: at the start of many entries the first link to be
        # open would often be one to another zone.
        return any(
            link.is_near and (link.is_connected or not link.has_failed)
            for link in self.link_by_name.values()
        )

    def _follow_watchers(self) -> None:
        failed = frozenset(
            name
            for name, link in self.link_by_name.items()
            if not link.is_connected and now_ms() - link.failed_ms < UNREACHABLE_MS
        )
        wanted = {
            member.name: member
            for member in self._fleet.watchers(failed)
            if member.name != self._fleet.own.name
        }
        for name, link in list(self.link_by_name.items()):
            member = self._fleet.member_by_name.get(name)
            is_moved = member is None or link.url != f"ws://{member.peers}"
            if is_moved or (name not in wanted and name not in failed):
                self.link_by_name.pop(name).close()
        for name, member in wanted.items():
            if name not in self.link_by_name:
                link = WatcherLink(
                    member,
                    self._key,
                    self._fleet,
                    self._state,
                    self._request_pacer,
                    self._has_near_link,
                    self._metrics,
                )
                self.link_by_name[name] = link
                spawn_supervised(f"link to {name}", link.run)
