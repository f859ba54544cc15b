"""Drain notices of endpoint incarnations, from any source."""

from cassiahaven_core.peer_message import DrainNotice

MOST_NOTICES = 10_000


class Drains:
    """Drain notices, stored so that a lagging source does not undo a drain."""

    __slots__ = ("_notice_by_incarnation",)

    def __init__(self) -> None:
        self._notice_by_incarnation: dict[tuple[str, str], DrainNotice] = {}

    def add(self, notice: DrainNotice) -> bool:
        """Store ``notice`` and return whether it is the first for its endpoint incarnation."""
        key = (notice.endpoint, notice.incarnation)
        if key in self._notice_by_incarnation:
            return False
        self._notice_by_incarnation[key] = notice
        if len(self._notice_by_incarnation) > MOST_NOTICES:
            del self._notice_by_incarnation[next(iter(self._notice_by_incarnation))]
        return True

    def notices(self) -> list[DrainNotice]:
        """Return all stored notices."""
        return list(self._notice_by_incarnation.values())
