"""Reads and watches the fleet's store while this entry is a watcher."""

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
)
from cassiahaven_core.store_contact import StoreContact
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

WATCH_WAIT_MS = 20_000  # each return costs a call; the checks below tell a dead watch
LARGEST_ANSWER_AGE_MS = 500.0  # with a report's 500 ms on the way below what followers accept
GATHER_MS = 100.0  # each return of a watch costs a call, and changes come in rows
IDLE_INTERVAL_MS = 100.0
ROUNDING_MS = 1.0  # timers may fire a little early


class WatchRestarted(Exception):
    """End a watch that may wait on a dead connection; raised inside its own task."""


class StoreFeed:
    """Follow all topics of the store, as long as this entry is asked to.

    Args:
        store: The fleet's store.
        is_wanted: Tells whether this entry is to follow a topic of the store.
        on_changes: Called with what was read.
        contact: Told of each question and answer.
    """

    def __init__(
        self,
        store: FleetStore,
        *,
        is_wanted: Callable[[Topic], bool],
        on_changes: Callable[[Topic, FleetChanges], None],
        contact: StoreContact,
    ) -> None:
        self.seen_ms = float("-inf")
        self.is_available = True
        self._store = store
        self._is_wanted = is_wanted
        self._on_changes = on_changes
        self._contact = contact
        self._watching_tasks: set[greenlet] = set()

    @property
    def age_ms(self) -> float:
        """Return the time since the store's last answer, milliseconds."""
        return now_ms() - self.seen_ms

    def follow(self, topic: Topic) -> None:
        """Read and then watch ``topic`` for ever."""
        revision: int | None = None
        while True:
            if not self._is_wanted(topic):
                revision = None
                eventlet.sleep(IDLE_INTERVAL_MS / MS_PER_S)
                continue
            if not self.is_available:
                # One cheap question tells for all topics when the store is back.
                eventlet.sleep(IDLE_INTERVAL_MS / MS_PER_S)
                continue
            try:
                changes = self._next(topic, revision)
            except WatchRestarted:
                continue
            except HistoryGone:
                log(LogEvent.STORE_HISTORY_GONE, topic=topic.value, revision=revision)
                revision = None
                continue
            except StoreUnavailable as error:
                self.note(False, f"{topic.value}: {error}")
                continue
            self.note(True)
            revision = changes.revision
            self._report_findings(topic, changes.changes)
            self._on_changes(topic, changes)
            if not changes.is_whole:
                eventlet.sleep(GATHER_MS / MS_PER_S)

    def check(self) -> None:
        """Ask the store now and then whether it still answers, for ever.

        A watch that waits looks the same as one whose connection is dead.
        """
        checked_ms = float("-inf")
        while True:
            # After a failed check the next one waits for as long as after an answer.
            due_ms = max(self.seen_ms, checked_ms) + LARGEST_ANSWER_AGE_MS
            eventlet.sleep(max(IDLE_INTERVAL_MS, due_ms - now_ms()) / MS_PER_S)
            # Whoever no longer needs the store still finds out that it is back.
            is_due = not self.is_available or any(self._is_wanted(topic) for topic in Topic)
            if not is_due or self.age_ms < LARGEST_ANSWER_AGE_MS - ROUNDING_MS:
                continue
            checked_ms = now_ms()
            self._contact.ask(checked_ms)
            try:
                self._store.check()
            except StoreUnavailable as error:
                self.note(False, str(error))
            else:
                self.note(True)

    def note(self, is_available: bool, detail: str = "") -> None:
        """Take in whether the store answered."""
        if is_available:
            self.seen_ms = now_ms()
            self._contact.answer(self.seen_ms)
        else:
            self._contact.ask(now_ms())
        if is_available == self.is_available:
            return
        self.is_available = is_available
        event = LogEvent.STORE_AVAILABLE if is_available else LogEvent.STORE_UNAVAILABLE
        log(event, detail=detail)
        if is_available:
            self._restart_watches()

    def _next(self, topic: Topic, revision: int | None) -> FleetChanges:
        if revision is None:
            self._contact.ask(now_ms())
            return self._store.read(topic)
        task = getcurrent()
        self._watching_tasks.add(task)
        try:
            return self._store.watch(topic, revision=revision, wait_ms=WATCH_WAIT_MS)
        finally:
            self._watching_tasks.discard(task)

    def _restart_watches(self) -> None:
        # What broke one connection may have silenced the others, and a watch that waits on a dead
        # one would miss every change until its time is over.
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
