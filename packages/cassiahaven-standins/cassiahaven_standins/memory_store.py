"""In-process stand-in for the object store, for tests with a simulated clock."""

from cassiahaven_core.edge import ObjectStore, StoredObject, StoreUnavailable, WatchResult


class MemoryStore(ObjectStore):
    """An object store in memory; faults are set through its attributes.

    Attributes:
        is_down: Whether every operation raises ``StoreUnavailable``.
        lost_answers: Number of further writes that take effect but raise ``StoreUnavailable``.
    """

    def __init__(self) -> None:
        self.object_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.is_down = False
        self.lost_answers = 0

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or ``None``."""
        self._raise_if_down()
        return self.object_by_key.get(key)

    def put(self, key: str, value: bytes, *, version: int) -> int | None:
        """Write ``value`` if the object is at ``version``; return the new version or ``None``."""
        self._raise_if_down()
        known = self.object_by_key.get(key)
        if (known.version if known else 0) != version:
            return None
        self.revision += 1
        self.object_by_key[key] = StoredObject(key, self.revision, value)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnavailable("response lost")
        return self.revision

    def watch(self, prefix: str, *, revision: int, wait_ms: int) -> WatchResult:
        """Return the objects changed after ``revision`` without waiting."""
        self._raise_if_down()
        objects = [
            item
            for key, item in self.object_by_key.items()
            if key.startswith(prefix) and item.version > revision
        ]
        return WatchResult(self.revision, objects)

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreUnavailable("down")
