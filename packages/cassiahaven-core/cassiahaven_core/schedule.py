"""Which waiting calls can no longer be answered in time."""

from collections.abc import Callable, Iterable

from cassiahaven_core.admission import Waiting

SHORTEST_SHARE = 0.5  # a call may need half of the usual time; refusing earlier loses answers


def hopeless_calls(
    calls: Iterable[Waiting], usual_ms: Callable[[str], float], *, slots: int, now_ms: float
) -> list[Waiting]:
    """Return the waiting calls that cannot start early enough to meet their deadline.

    Answers the load pattern of a backlog longer than callers wait: work for those that leave before
    they are answered would delay the others too.

    Args:
        calls: Calls in the order in which they are served.
        usual_ms: Returns how long the calls of a partner usually take.
        slots: Calls that run at a time.
        now_ms: Current time, milliseconds.
    """
    hopeless: list[Waiting] = []
    work_ms = 0.0
    for call in calls:
        usual = usual_ms(call.partner)
        starts_ms = now_ms + (work_ms / slots if slots else 0.0)
        if starts_ms + usual * SHORTEST_SHARE > call.deadline_ms:
            hopeless.append(call)
        else:
            work_ms += usual
    return hopeless
