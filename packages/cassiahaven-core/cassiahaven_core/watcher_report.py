"""Reports of a watcher as numbered changes: what the watcher sends and what a subscriber has."""

from dataclasses import replace
from typing import TypeAlias

from cassiahaven_core.peer_message import WatcherPulse, WatcherReport, WatcherReportChange

ReportMessage: TypeAlias = WatcherReport | WatcherReportChange | WatcherPulse


class ReportPublisher:
    """The last published report of a watcher, whose sequence number rises with each change."""

    __slots__ = ("published",)

    def __init__(self) -> None:
        self.published: WatcherReport | None = None

    def advance(self, report: WatcherReport) -> ReportMessage:
        """Publish ``report``; return what brings subscribers of the last one up to date."""
        before = self.published
        if before is None:
            self.published = replace(report, sequence=1)
            return self.published
        sequence = before.sequence + 1
        self.published = replace(report, sequence=sequence)
        change = WatcherReportChange(
            sequence=sequence,
            joined=_missing(report.live, before.live),
            lost=_missing(before.live, report.live),
            started_draining=_missing(report.draining, before.draining),
            stopped_draining=_missing(before.draining, report.draining),
            store_age_ms=report.store_age_ms,
            version_by_topic={
                topic: version
                for topic, version in report.version_by_topic.items()
                if version != before.version_by_topic.get(topic)
            },
            starting=_missing(report.starting, before.starting),
            started=_missing(before.starting, report.starting),
        )
        if change.is_empty:
            self.published = replace(report, sequence=before.sequence)
            return WatcherPulse(report.store_age_ms, before.sequence)
        return change

    def full(self, store_age_ms: float) -> WatcherReport | None:
        """Return the last published report, to which the next change applies."""
        if self.published is None:
            return None
        return replace(self.published, store_age_ms=store_age_ms)


class ReportReplica:
    """The report of one watcher as a subscriber knows it from one connection.

    Messages may be lost or arrive out of order, as several tasks of the watcher send them.
    """

    __slots__ = ("report",)

    def __init__(self) -> None:
        self.report: WatcherReport | None = None

    def reset(self) -> None:
        """Forget the report: the numbers of another connection are unrelated."""
        self.report = None

    def apply(self, message: ReportMessage) -> bool:
        """Apply ``message``; return whether a full report is needed as changes are missing."""
        sequence = 0 if self.report is None else self.report.sequence
        match message:
            case WatcherReport():
                if self.report is None or message.sequence >= sequence:
                    self.report = message
                return False
            case WatcherReportChange():
                if self.report is not None and message.sequence == sequence + 1:
                    self.report = _changed(self.report, message)
                    return False
                return self.report is None or message.sequence > sequence
            case WatcherPulse():
                return self.report is None or message.sequence > sequence


def _missing(names: list[str], others: list[str]) -> list[str]:
    known = set(others)
    return [name for name in names if name not in known]


def _changed(report: WatcherReport, change: WatcherReportChange) -> WatcherReport:
    live = (set(report.live) | set(change.joined)) - set(change.lost)
    draining = (set(report.draining) | set(change.started_draining)) - set(change.stopped_draining)
    starting = (set(report.starting) | set(change.starting)) - set(change.started)
    return WatcherReport(
        list(live),
        list(draining),
        change.store_age_ms,
        report.version_by_topic | change.version_by_topic,
        change.sequence,
        list(starting),
    )
