"""Which waiting calls are better refused than kept."""

from collections.abc import Callable, Iterable

from cassiahaven_core.admission import Waiting

SHORTEST_SHARE = 0.5  # a call may need half of the usual time; refusing earlier loses answers


def hopeless_calls(
    calls: Iterable[Waiting], usual_ms: Callable[[str], float], *, slots: int, now_ms: float
) -> list[Waiting]:
    """Return the waiting calls that are not served any more in any useful time.

    Answers the load pattern of a backlog longer than callers wait: work for those that leave before
    they are answered would delay the others too, and a call that can only be late waits behind all
    that can still be in time.

    Args:
        calls: Calls in the order in which they are served, but for those that are late already.
        usual_ms: Returns how long the calls of a partner usually take.
        slots: Calls that run at a time.
        now_ms: Current time, milliseconds.
    """
    late = [call for call in calls if call.start_by_ms <= now_ms]
    fresh = [call for call in calls if call.start_by_ms > now_ms]
    hopeless: list[Waiting] = []
    work_ms = 0.0
    for call in (*fresh, *late):
        usual = usual_ms(call.partner)
        starts_ms = now_ms + (work_ms / slots if slots else 0.0)
        if starts_ms + usual * SHORTEST_SHARE > call.deadline_ms:
            hopeless.append(call)
        else:
            work_ms += usual
    if fresh:
        # More of them arrive than are served, so the late ones would wait for nothing.
        hopeless += [call for call in late if call not in hopeless]
    return hopeless
