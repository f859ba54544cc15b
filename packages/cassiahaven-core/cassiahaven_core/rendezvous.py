"""Rendezvous hashing: a consistent ranking of nodes for a key, without coordination."""

from functools import lru_cache
from hashlib import blake2b

SCORE_BYTES = 8
RANKING_CACHE_SIZE = 4096
SCORE_CACHE_SIZE = 2048  # four keys, each with the 300 entries of a large fleet, and some to spare


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def rank(key: str, nodes: tuple[str, ...]) -> tuple[str, ...]:
    """Order ``nodes`` by their score for ``key``, best first.

    Every process with the same nodes computes the same order, and a node that joins or leaves moves
    only the keys for which it ranks first.

    Args:
        key: Key to place.
        nodes: Names of the candidates.

    Returns:
        All candidates, best first.
    """
    return tuple(sorted(nodes, key=lambda node: (_score(key, node), node), reverse=True))


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def score(key: str, node: str) -> int:
    """Return the score of one node for ``key``, kept for the few keys of a fleet.

    Ranking nodes by kept scores takes less memory than keeping a ranking for each set of nodes.
    """
    return _score(key, node)


def _score(key: str, node: str) -> int:
    digest = blake2b(f"{key}\0{node}".encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")
