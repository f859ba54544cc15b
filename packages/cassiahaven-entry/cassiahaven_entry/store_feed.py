"""Reads and watches the topics of the fleet's store while this entry is a watcher."""

from collections.abc import Callable

import eventlet
from eventlet.hubs import get_hub
from greenlet import getcurrent, greenlet

from cassiahaven_core.edge import (
    FleetChange,
    FleetChanges,
    FleetStore,
    HistoryGone,
    StoreUnavailable,
    Topic,
    WatchUnanswered,
)
from cassiahaven_core.store_outage import StoreOutageDetector
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

# The answer to a watch may be lost while the store answers everything else, so only the end of the
# wait bounds how long its changes stay unknown. Changes of configuration and endpoints take effect
# within 2.5 s, and evacuations within 5 s; each return of a watch costs a store call. Only the
# first of the watchers keeps to these waits, as the others learn of a change from it.
WAIT_MS_BY_TOPIC = {Topic.CONFIGURATION: 1500, Topic.ENDPOINTS: 1500, Topic.EVACUATIONS: 3000}
WATCH_WAIT_MS = 5000  # members are also known from their links, and tables have no time limit
STORE_CHECK_INTERVAL_MS = 500.0  # with the 500 ms report interval below the age subscribers accept
COALESCE_MS = 100.0  # coalesces bursts of changes; each return of a watch costs a store call
# Endpoints write the store several times a second to say that they are alive. A change after such
# a write waits this long, which leaves 2 s of its 2.5 s; the pause is shorter than the check
# interval, so that it causes no checks.
UNCHANGED_PAUSE_MS = 400.0
IDLE_INTERVAL_MS = 100.0
START_INTERVAL_MS = 10.0  # until the members are known, so that a start takes no longer
ROUNDING_MS = 1.0  # timers may fire slightly early


class WatchRestarted(Exception):
    """Raised in a watching task to restart a watch whose connection may be dead."""


class StoreFeed:
    """Follow the topics of the store that this entry has to watch.

    Args:
        store: The fleet's store.
        is_wanted: Returns whether this entry has to watch a topic.
        on_changes: Called with the topic and the changes read; returns whether any item changed.
        contact: Records each request to the store and each response.
        is_starting: Returns whether it is not known yet which topics this entry watches.
        leads: Returns whether no other watcher tells this entry of changes that it misses.
    """

    def __init__(
        self,
        store: FleetStore,
        *,
        is_wanted: Callable[[Topic], bool],
        on_changes: Callable[[Topic, FleetChanges], bool],
        contact: StoreOutageDetector,
        is_starting: Callable[[], bool] = lambda: False,
        leads: Callable[[], bool] = lambda: True,
    ) -> None:
        self.seen_ms = float("-inf")
        self.is_available = True
        self._era = store.era
        self._store = store
        self._is_wanted = is_wanted
        self._on_changes = on_changes
        self._contact = contact
        self._is_starting = is_starting
        self._leads = leads
        self._has_led = True
        self._watching_tasks: set[greenlet] = set()

    @property
    def age_ms(self) -> float:
        """Return the time since the store's last response, milliseconds."""
        return now_ms() - self.seen_ms

    def follow(self, topic: Topic) -> None:
        """Read ``topic``, then watch it, until the process ends."""
        version: StoreVersion | None = None
        while True:
            if not self._is_wanted(topic):
                version = None
                idle_ms = START_INTERVAL_MS if self._is_starting() else IDLE_INTERVAL_MS
                eventlet.sleep(idle_ms / MS_PER_S)
                continue
            if not self.is_available:
                # ``check`` detects the store's recovery for all topics with one cheap request.
                eventlet.sleep(IDLE_INTERVAL_MS / MS_PER_S)
                continue
            if version is not None and version.era != self._store.era:
                version = None
            revision = None if version is None else version.revision
            try:
                changes = self._next(topic, revision)
            except WatchRestarted:
                continue
            except WatchUnanswered as error:
                log(LogEvent.STORE_WATCH_UNANSWERED, topic=topic.value, detail=str(error))
                continue
            except HistoryGone:
                log(LogEvent.STORE_HISTORY_GONE, topic=topic.value, revision=revision)
                version = None
                continue
            except StoreUnavailable as error:
                self.record_availability(False, f"{topic.value}: {error}")
                continue
            self.record_availability(True)
            if version is not None and changes.era != version.era:
                # The revision was issued again: what changed before it is unknown.
                log(LogEvent.STORE_HISTORY_GONE, topic=topic.value, revision=revision)
                version = None
                continue
            version = changes.version
            self._report_findings(topic, changes.changes)
            is_changed = self._on_changes(topic, changes)
            if not changes.is_whole:
                is_quiet = changes.changes and not is_changed
                eventlet.sleep((UNCHANGED_PAUSE_MS if is_quiet else COALESCE_MS) / MS_PER_S)

    def check(self) -> None:
        """Check regularly that the store responds, until the process ends.

        A response says nothing about the watches: their connections may be dead nevertheless.
        """
        checked_ms = float("-inf")
        while True:
            # Wait as long after a failed check as after a response.
            due_ms = max(self.seen_ms, checked_ms) + STORE_CHECK_INTERVAL_MS
            eventlet.sleep(max(IDLE_INTERVAL_MS, due_ms - now_ms()) / MS_PER_S)
            self._follow_lead()
            # An unavailable store is checked even if no topic is watched, to notice its recovery.
            is_due = not self.is_available or any(self._is_wanted(topic) for topic in Topic)
            if not is_due or self.age_ms < STORE_CHECK_INTERVAL_MS - ROUNDING_MS:
                continue
            checked_ms = now_ms()
            self._contact.record_request(checked_ms)
            try:
                self._store.check()
            except StoreUnavailable as error:
                self.record_availability(False, str(error))
            else:
                self.record_availability(True)

    def record_availability(self, is_available: bool, detail: str = "") -> None:
        """Record whether the store responded."""
        if is_available:
            self.seen_ms = now_ms()
            self._contact.record_answer(self.seen_ms)
            if self._store.era > self._era:
                self._era = self._store.era
                self._restart_watches()
        else:
            self._contact.record_request(now_ms())
        if is_available == self.is_available:
            return
        self.is_available = is_available
        event = LogEvent.STORE_AVAILABLE if is_available else LogEvent.STORE_UNAVAILABLE
        log(event, detail=detail)
        if is_available:
            self._restart_watches()

    def _next(self, topic: Topic, revision: int | None) -> FleetChanges:
        if revision is None:
            self._contact.record_request(now_ms())
            return self._store.read(topic)
        task = getcurrent()
        self._watching_tasks.add(task)
        try:
            wait_ms = WAIT_MS_BY_TOPIC.get(topic, WATCH_WAIT_MS)
            if not self._leads():
                wait_ms = WATCH_WAIT_MS
            return self._store.watch(topic, revision=revision, wait_ms=wait_ms)
        finally:
            self._watching_tasks.discard(task)

    def _follow_lead(self) -> None:
        """End the long waits once no other watcher tells of what they miss."""
        had_led, self._has_led = self._has_led, self._leads()
        if self._has_led and not had_led:
            self._restart_watches()

    def _restart_watches(self) -> None:
        # The fault that broke one connection may have silenced the others; a watch on a dead
        # connection would miss every change until it times out.
        for task in self._watching_tasks - {getcurrent()}:
            get_hub().schedule_call_global(0, self._restart, task)

    def _restart(self, task: greenlet) -> None:
        if task in self._watching_tasks:
            task.throw(WatchRestarted())

    def _report_findings(self, topic: Topic, changes: list[FleetChange]) -> None:
        for change in changes:
            if change.finding:
                log(
                    LogEvent.STORE_ENTRY_MALFORMED,
                    topic=topic.value,
                    name=change.name,
                    finding=change.finding,
                )
