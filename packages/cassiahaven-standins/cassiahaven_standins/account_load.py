"""Client accounts of a load, whose keys are revoked and added while calls are sent."""

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

KEY_PREFIX = "key-of-"
UNKNOWN_KEY = "key-of-nobody"
HOT_ACCOUNT = "hot"
HOT_RATE_PER_S = 8.0
HOT_BURST = 10.0
HOT_SHARE = 0.4  # of all calls, several times the account's quota
ANONYMOUS_PREFIX = "y"
ANONYMOUS_SHARE = 0.1
REVOKED_SHARE = 0.1
UNKNOWN_SHARE = 0.03
FORGED_SHARE = 0.3
FORGED_NAMES = ("Tenant-Id", "tenant-ID", "Tenant_Id", "TENANT-ID")
# Priority, rate and burst. ``cy`` has a quota far above all calls of the load together.
LIMITS_BY_ACCOUNT = {
    HOT_ACCOUNT: (1, HOT_RATE_PER_S, HOT_BURST),
    "ada": (0, 0, 0),
    "bo": (1, 0, 0),
    "cy": (2, 2000, 500),
}


@dataclass(frozen=True, slots=True)
class Credential:
    """What a call says of its account.

    Attributes:
        account: Account that endpoints are to see, empty for an anonymous call.
        key: Key that is sent, empty for none.
        headers: All headers, with forged accounts.
    """

    account: str
    key: str
    headers: tuple[tuple[str, str], ...]


class AccountLoad:
    """The accounts and their keys.

    Attributes:
        added_s_by_key: When the store acknowledged each added key.
        revoked_s_by_key: When the store acknowledged the revocation of each key.
    """

    def __init__(self) -> None:
        self.added_s_by_key: dict[str, float] = {}
        self.revoked_s_by_key: dict[str, float] = {}
        self._lock = threading.Lock()
        self._keys_by_account = {
            name: [f"{KEY_PREFIX}{name}-{n}" for n in range(2)] for name in LIMITS_BY_ACCOUNT
        }
        self._account_by_key = {
            key: name for name, keys in self._keys_by_account.items() for key in keys
        }

    def rows(self) -> list[list[Any]]:
        """Return the rows of the table of accounts."""
        return [
            [name, list(self._keys_by_account[name]), *limits]
            for name, limits in LIMITS_BY_ACCOUNT.items()
        ]

    def is_known(self, key: str) -> bool:
        """Return whether a key belongs or belonged to an account."""
        return key in self._account_by_key

    def replace_key(self, rng: random.Random, store: Callable[[], object]) -> None:
        """Revoke a key of an account and add one; ``store`` writes the configuration."""
        with self._lock:
            account = rng.choice(list(self._keys_by_account))
            added = f"{KEY_PREFIX}{account}-{len(self._account_by_key)}"
            revoked, *kept = self._keys_by_account[account]
            self._account_by_key[added] = account
            self._keys_by_account[account] = [*kept, added]
            store()
            self.added_s_by_key[added] = self.revoked_s_by_key[revoked] = time.monotonic()

    def credential(self, rng: random.Random, prefix: str) -> Credential:
        """Return what a call to a route of ``prefix`` says of its account."""
        forged = ()
        if rng.random() < FORGED_SHARE:
            names = rng.sample(FORGED_NAMES, rng.randint(1, 2))
            forged = tuple((name, rng.choice(list(LIMITS_BY_ACCOUNT))) for name in names)
        draw = rng.random()
        if prefix == ANONYMOUS_PREFIX and draw < ANONYMOUS_SHARE:
            return Credential("", "", forged)
        if draw > 1 - UNKNOWN_SHARE:
            return _with_key("", UNKNOWN_KEY, forged)
        revoked = list(self.revoked_s_by_key)
        if revoked and draw > 1 - UNKNOWN_SHARE - REVOKED_SHARE:
            key = rng.choice(revoked)
            return _with_key(self._account_by_key[key], key, forged)
        others = [name for name in LIMITS_BY_ACCOUNT if name != HOT_ACCOUNT]
        account = HOT_ACCOUNT if rng.random() < HOT_SHARE else rng.choice(others)
        return _with_key(account, rng.choice(self._keys_by_account[account]), forged)

    def may_be_refused(
        self, credential: Credential, status: int, sent_s: float, ended_s: float, *, bound_s: float
    ) -> bool:
        """Return whether a refusal with ``status`` follows from the key or the quota.

        Args:
            credential: What the call said of its account.
            status: Status of its answer.
            sent_s: When it was sent.
            ended_s: When it was answered.
            bound_s: Time after which added and revoked keys are in force at all entries.
        """
        if status == 429:
            return credential.account == HOT_ACCOUNT
        added_s = self.added_s_by_key.get(credential.key, float("-inf"))
        # The configuration may be in force before its acknowledgement is noted.
        revoked_s = self.revoked_s_by_key.get(credential.key, float("inf")) - 0.5
        is_unknown = bool(credential.key) and not self.is_known(credential.key)
        return status == 401 and (is_unknown or sent_s < added_s + bound_s or ended_s > revoked_s)


def _with_key(account: str, key: str, forged: Iterable[tuple[str, str]]) -> Credential:
    return Credential(account, key, (("Authorization", f"Bearer {key}"), *forged))
