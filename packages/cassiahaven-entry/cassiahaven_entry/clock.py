"""The clock of the eventlet hub, which tests pause and advance."""

import time

from eventlet.hubs import get_hub

MS_PER_S = 1000.0


def now_ms() -> float:
    """Return the monotonic time of the hub in milliseconds."""
    return get_hub().clock() * MS_PER_S


def boot_ms() -> float:
    """Return the time in milliseconds on a clock that also runs while the VM is suspended."""
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
    return now_ms() + suspended_s * MS_PER_S
