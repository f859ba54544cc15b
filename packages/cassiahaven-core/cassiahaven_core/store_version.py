"""Versions of what the store holds, ordered also over restores of the store."""

from collections.abc import Sequence
from typing import NamedTuple


class StoreVersion(NamedTuple):
    """A revision of the store in one of its eras.

    A store that is restored from a copy issues the revisions after the copy again. It counts the
    restores as its era, so a version of a later era is newer whatever its revision.
    """

    era: int = 0
    revision: int = 0

    @classmethod
    def of(cls, plain: "int | Sequence[int]") -> "StoreVersion":
        """Return the version for its plain form: a revision of era 0, or era and revision.

        Raises:
            TypeError: The value is no version.
        """
        return cls(0, plain) if isinstance(plain, int) else cls(*plain)

    def to_plain(self) -> int | list[int]:
        """Return the shortest plain form."""
        return self.revision if self.era == 0 else list(self)


NO_VERSION = StoreVersion()
