"""Load shedding: selects the waiting calls to refuse."""

from collections.abc import Callable, Iterable

from cassiahaven_core.admission import Waiting

SHORTEST_SHARE = 0.5  # a call may need only half the typical latency; more would refuse it wrongly


def hopeless_calls(
    calls: Iterable[Waiting], usual_ms: Callable[[str], float], *, slots: int, now_ms: float
) -> list[Waiting]:
    """Return the waiting calls that cannot be served in time.

    Handles a backlog longer than callers wait: work for callers that leave before the response
    would delay all others, and a late call waits behind all calls that can still be on time.

    Args:
        calls: Calls in service order, except that late calls are served last.
        usual_ms: Returns the typical call latency of a partner.
        slots: Number of calls that run concurrently.
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
        # Calls arrive faster than they are served, so the late ones would wait in vain.
        hopeless += [call for call in late if call not in hopeless]
    return hopeless
