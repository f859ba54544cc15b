"""The links between the entries of a fleet: each follows a few watchers of the store."""

from collections.abc import Callable
from dataclasses import replace

import eventlet

from cassiahaven_core.membership import SILENCE_MS, Fleet, Member
from cassiahaven_core.peer_message import (
    CrashNotice,
    Encoded,
    MemberReport,
    PeerMessage,
    StateNews,
    StateRequest,
    WatcherPulse,
    WatcherReport,
    encode_once,
)
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.peer_dialer import PeerDialer
from cassiahaven_entry.peer_handler import PeerSubscribers
from cassiahaven_entry.peer_server import PeerServer
from cassiahaven_entry.supervisor import spawn_supervised

REPORT_INTERVAL_MS = 500.0
UNREACHABLE_MS = 3000.0  # an entry that restarts is back within this time
GATHER_MS = 100.0  # changes come in rows; a twentieth of the time that they may take
REQUEST_TIMEOUT_MS = 400.0
NEAR_FIRST_MS = 250.0  # half of what passes between reports; bytes between zones are paid for
KEPT_NEWS = 16
CLUSTER = "fleet"


class FleetState:
    """What the links need of the node: its state to pass on and its ears for news.

    Args:
        report: Returns what this entry tells its subscribers.
        versions: Returns the version of each topic that this entry has, by name.
        news: Returns the answer to a request for a topic.
        on_news: Called with what a watcher passed on and with its name.
        on_crash: Called with a notice of a request that crashed an endpoint.
    """

    __slots__ = ("report", "versions", "news", "on_news", "on_crash")

    def __init__(
        self,
        *,
        report: Callable[[], WatcherReport],
        versions: Callable[[], dict[str, int]],
        news: Callable[[StateRequest], StateNews],
        on_news: Callable[[StateNews, str], None],
        on_crash: Callable[[CrashNotice], None],
    ) -> None:
        self.report = report
        self.versions = versions
        self.news = news
        self.on_news = on_news
        self.on_crash = on_crash


class StateQuestions:
    """Decide which watcher is asked for a topic that another one knows newer, and when.

    Answers the load pattern of a change that all followers learn of at once from every watcher:
    each asks one watcher, the one in its own availability zone if it has one.
    """

    __slots__ = ("_asked_ms_by_topic", "_lacking_since_ms_by_topic")

    def __init__(self) -> None:
        self._asked_ms_by_topic: dict[str, float] = {}
        self._lacking_since_ms_by_topic: dict[str, float] = {}

    def is_due(self, topic: str, *, prefers_another: bool, now_ms: float) -> bool:
        """Tell whether a watcher that knows ``topic`` newer is to be asked, and count it.

        Args:
            topic: Name of the topic.
            prefers_another: Whether a nearer watcher is connected.
            now_ms: Current time, milliseconds.
        """
        since_ms = self._lacking_since_ms_by_topic.setdefault(topic, now_ms)
        if prefers_another and now_ms - since_ms < NEAR_FIRST_MS:
            return False
        if now_ms - self._asked_ms_by_topic.get(topic, float("-inf")) <= REQUEST_TIMEOUT_MS:
            return False
        self._asked_ms_by_topic[topic] = now_ms
        return True

    def settle(self, topic: str) -> None:
        """Take in that a topic was answered."""
        self._asked_ms_by_topic.pop(topic, None)
        self._lacking_since_ms_by_topic.pop(topic, None)


class WatcherLink(PeerDialer):
    """Follow one watcher: report to it, hear who lives, and ask for what it knows newer."""

    def __init__(
        self,
        member: Member,
        key: str,
        fleet: Fleet,
        state: FleetState,
        questions: StateQuestions,
        has_near_link: Callable[[], bool],
    ) -> None:
        super().__init__(member.name, f"ws://{member.peers}", cluster=CLUSTER, key=key)
        self.failed_ms = float("-inf")
        self.is_near = member.availability_zone == fleet.own.availability_zone
        self._fleet = fleet
        self._state = state
        self._questions = questions
        self._has_near_link = has_near_link
        self._version_by_topic: dict[str, int] = {}
        self._told_versions: dict[str, int] = {}

    @property
    def is_connected(self) -> bool:
        """Tell whether the link is up."""
        return self._connection is not None

    def report(self, is_draining: bool) -> None:
        """Tell the watcher that this entry lives."""
        versions = self._state.versions()
        news = {} if versions == self._told_versions else versions
        if self.send(MemberReport(self._fleet.own.name, is_draining, news)):
            self._told_versions = versions

    def drop_if_silent(self) -> None:
        """End a connection on which nothing was heard for too long."""
        view = self._fleet.view_by_watcher.get(self.name)
        if self._connection is None or view is None:
            return
        if now_ms() - view.heard_ms > SILENCE_MS:
            self.failed_ms = now_ms()
            # The peer may be unreachable, so no closing handshake is tried.
            self._connection.close_socket()

    def _options(self) -> dict[str, float | None]:
        return {"ping_interval": None}

    def _on_failure(self, error: Exception) -> None:
        self.failed_ms = now_ms()

    def _on_connected(self) -> None:
        self._version_by_topic = {}
        self._told_versions = {}
        self.report(self._fleet.own.name in self._fleet.draining)

    def _on_disconnected(self) -> None:
        self.failed_ms = now_ms()
        self._fleet.lose_view(self.name)

    def _receive(self, message: PeerMessage) -> None:
        match message:
            case WatcherReport():
                self._take_in(message)
            case WatcherPulse(store_age_ms=store_age_ms):
                self._fleet.hear_pulse(self.name, store_age_ms=store_age_ms, now_ms=now_ms())
                self._ask()
            case StateNews(topic=topic):
                self._questions.settle(topic)
                self._state.on_news(message, self.name)
            case CrashNotice():
                self._state.on_crash(message)

    def _take_in(self, report: WatcherReport) -> None:
        self._fleet.hear_view(
            self.name,
            live=report.live,
            draining=report.draining,
            store_age_ms=report.store_age_ms,
            now_ms=now_ms(),
        )
        self._version_by_topic = report.version_by_topic
        self._ask()

    def _ask(self) -> None:
        own = self._state.versions()
        prefers_another = not self.is_near and self._has_near_link()
        for topic, version in self._version_by_topic.items():
            if version > own[topic] and self._questions.is_due(
                topic, prefers_another=prefers_another, now_ms=now_ms()
            ):
                self.send(StateRequest(topic, own[topic]))


class FleetLinks(PeerSubscribers):
    """Own the links to the watchers that this entry follows and from those that follow it.

    Args:
        fleet: Members and who of them lives.
        state: What this entry passes on and takes in.
        key: Shared key of the links.
    """

    def __init__(self, fleet: Fleet, state: FleetState, *, key: str, metrics: Metrics) -> None:
        self.link_by_name: dict[str, WatcherLink] = {}
        self._fleet = fleet
        self._state = state
        self._key = key
        self._name_by_connection: dict[str, str] = {}
        self._published: WatcherReport | None = None
        self._published_ms = float("-inf")
        self._is_report_due = False
        self._questions = StateQuestions()
        self._encoded_news: dict[tuple[str, int, int], Encoded] = {}
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
    def has_subscribers(self) -> bool:
        """Tell whether another entry follows this one."""
        return bool(self._name_by_connection)

    def serve(self) -> None:
        """Take links of other entries for ever."""
        self._server.run()

    def run(self) -> None:
        """Follow the watchers and report to both sides for ever."""
        while True:
            self._follow_watchers()
            is_draining = self._fleet.own.name in self._fleet.draining
            for link in self.link_by_name.values():
                link.drop_if_silent()
                link.report(is_draining)
            self.publish_report()
            eventlet.sleep(REPORT_INTERVAL_MS / MS_PER_S)

    def publish_report(self) -> None:
        """Tell the subscribers what this entry has, at once or gathered with what follows soon."""
        if self._is_report_due:
            return
        wait_ms = self._published_ms + GATHER_MS - now_ms()
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
        # Those who know it already only hear that it still holds.
        report = self._state.report()
        is_known = replace(report, store_age_ms=0.0) == self._published
        self._published = replace(report, store_age_ms=0.0)
        self._server.publish(WatcherPulse(report.store_age_ms) if is_known else report)

    def publish(self, message: PeerMessage) -> None:
        """Send ``message`` to the subscribers and the watchers that this entry follows."""
        self._server.publish(message)
        for link in self.link_by_name.values():
            link.send(message)

    def close(self) -> None:
        """End all links at once.

        Closing handshakes with every subscriber would outlast the time that a stop has left.
        """
        for link in self.link_by_name.values():
            link.drop()
        self._server.drop()

    def greeting(self) -> list[PeerMessage]:
        """Return what a new subscriber is told."""
        return [self._state.report()]

    def receive(self, connection: str, message: PeerMessage) -> list[PeerMessage | Encoded]:
        """Take in a subscriber's message and return the replies."""
        match message:
            case MemberReport(name=name, is_draining=is_draining, version_by_topic=versions):
                is_news = connection not in self._name_by_connection
                is_news |= is_draining != (name in self._fleet.draining)
                self._name_by_connection[connection] = name
                self._fleet.hear_report(
                    name, is_draining=is_draining, now_ms=now_ms(), version_by_topic=versions
                )
                if is_news:
                    self.publish_report()
            case StateRequest():
                return [self._news(message)]
            case CrashNotice():
                self._state.on_crash(message)
                self._server.publish(message)
        return []

    def lose(self, connection: str) -> None:
        """Take in that a subscriber's link ended."""
        name = self._name_by_connection.pop(connection, None)
        if name is not None and name not in self._name_by_connection.values():
            self._fleet.lose_report(name)
            log(LogEvent.PEER_LOST, peer=name)
            self.publish_report()

    def _news(self, request: StateRequest) -> Encoded:
        # All followers ask for the same at about the same time.
        key = (request.topic, request.revision, self._state.versions()[request.topic])
        encoded = self._encoded_news.get(key)
        if encoded is None:
            if len(self._encoded_news) >= KEPT_NEWS:
                self._encoded_news.clear()
            encoded = self._encoded_news[key] = encode_once(self._state.news(request))
        return encoded

    def _has_near_link(self) -> bool:
        return any(link.is_near and link.is_connected for link in self.link_by_name.values())

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
                    self._questions,
                    self._has_near_link,
                )
                self.link_by_name[name] = link
                spawn_supervised(f"link to {name}", link.run)
