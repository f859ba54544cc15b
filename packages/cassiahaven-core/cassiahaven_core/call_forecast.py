"""Forecast of what would happen to a call, from a copy of the state that decides."""

import math
from copy import deepcopy
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.endpoint import Endpoint
from cassiahaven_core.lifecycle import EndpointStatus
from cassiahaven_core.pool import Pool
from cassiahaven_core.service import Dispatch, Refuse, ServicePolicy
from cassiahaven_core.table import CellValue
from cassiahaven_core.zone_placement import CallNeed

CHOSEN = "chosen"
NEXT = "next"
HELD_AT_HOME = "the call waits for a slot of its own zone"
UNKNOWN_RULE = "left out by another rule"


class Verdict(Enum):
    """What would happen to a call that arrived now."""

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EndpointForecast:
    """An endpoint as a call that arrived now would find it.

    Attributes:
        position: Position in the order in which the endpoints would be tried, from 1, ``None`` if
            the call would not be sent to it.
        reason: Why it has this position, or why it is left out.
        limit: Calls in flight that this entry allows itself there.
        cost: Expected cost of a call, by which endpoints are ordered.
        opens_in_ms: Time until closure and rate limit let a call through.
        status_age_ms: Time since the status changed.
        report_age_ms: Time since the last load report, ``None`` without one.
        limit_age_ms: Time since the rate limit was last learned or lifted, ``None`` without.
        cold_left_ms: Time for which it is still cold, ``None`` if it is warm.
        success_age_ms: Time since the last success, which the slowness is from, ``None`` without.
    """

    endpoint: str
    availability_zone: str
    position: int | None
    reason: str
    in_flight: int
    limit: int
    cost: float
    slowness: float
    distance_ms: float
    opens_in_ms: float
    status_age_ms: float
    report_age_ms: float | None
    success_age_ms: float | None
    limit_age_ms: float | None
    cold_left_ms: float | None


@dataclass(frozen=True, slots=True)
class CallForecast:
    """What would happen to a call that arrived now.

    Attributes:
        endpoint: The endpoint that it would be sent to at once, empty if none.
        reason: Why it would be refused, empty if it would not.
        wait_ms: Expected time until it is sent, ``None`` if it would be refused.
        retry_after_ms: Time after which its caller is told to return, ``None`` unless refused.
        waiting: Calls that wait already.
        endpoints: All endpoints, first those that it would be sent to, in order.
        left_zone: Why it would leave the entry's zone, empty if it would not.
    """

    verdict: Verdict
    endpoint: str
    reason: str
    wait_ms: float | None
    retry_after_ms: float | None
    waiting: int
    endpoints: tuple[EndpointForecast, ...]
    left_zone: str = ""


def forecast_call(
    policy: ServicePolicy, call: WaitingCall, cell: CellValue, now_ms: float
) -> CallForecast:
    """Return what ``policy`` would decide about ``call``, and leave ``policy`` as it is.

    The code that decides starts trials, takes tokens and promises times to return, so it runs on
    a copy, which also has the random numbers that decide between equal endpoints.

    Args:
        policy: Policy of the service.
        call: A call that arrives now.
        cell: Values in force for the call's partner.
        now_ms: Current time, milliseconds.
    """
    trial = _copy(policy)
    if call.partner not in trial.admission.partner_by_name:
        trial.admission.set_cell(call.partner, cell, now_ms)
    endpoints = _order(_copy(policy), call, now_ms)
    waiting = trial.admission.waiting
    for effect in trial.submit(call, now_ms):
        if effect.call_id != call.call_id:
            continue
        match effect:
            case Dispatch(address=address, left_zone=left_zone):
                return CallForecast(
                    Verdict.SENT,
                    address.endpoint,
                    "",
                    0.0,
                    None,
                    waiting,
                    endpoints,
                    left_zone=left_zone.value if left_zone is not None else "",
                )
            case Refuse(reason=reason):
                retry_after_ms = trial.retry_after_ms(call, now_ms)
                return CallForecast(
                    Verdict.REFUSED, "", reason.value, None, retry_after_ms, waiting, endpoints
                )
    wait_ms = trial.expected_start_ms(call, now_ms)
    return CallForecast(Verdict.WAITS, "", "", wait_ms, None, waiting, endpoints)


def _copy(policy: ServicePolicy) -> ServicePolicy:
    """Return a copy of all state that deciding changes; what is immutable is shared."""
    shared: list[Any] = [item.address for item in policy.pool.endpoint_by_id.values()]
    shared += policy.admission.waiting_calls()
    shared += [state.cell for state in policy.admission.partner_by_name.values()]
    return deepcopy(policy, {id(item): item for item in shared})


def _order(policy: ServicePolicy, call: WaitingCall, now_ms: float) -> tuple[EndpointForecast, ...]:
    """Return the endpoints in the order of ``Pool.choose``, then those that it leaves out."""
    pool = policy.pool
    need = policy.need(call, now_ms, may_wait=True)
    # Finding the order may start trials, so what is told of the endpoints is taken before.
    left_out = {
        name: _describe(pool, endpoint, need, now_ms)
        for name, endpoint in sorted(pool.endpoint_by_id.items())
    }
    notes_by_name = {
        name: _notes(endpoint, now_ms) for name, endpoint in pool.endpoint_by_id.items()
    }
    found: list[EndpointForecast] = []
    tried: frozenset[str] = frozenset()
    while True:
        chosen = pool.choose(now_ms, idempotent=call.idempotent, excluded=tried, need=need)
        if chosen is None:
            break
        left_zone = pool.take_left_zone()
        name = chosen.address.endpoint
        tried |= {name}
        notes = notes_by_name[name]
        if left_zone is not None:
            notes.append(f"leaves the zone: {left_zone.value}")
        reason = ", ".join([NEXT if found else CHOSEN, *notes])
        found.append(replace(left_out.pop(name), position=len(tried), reason=reason))
        # Retries do not wait for a slot of the zone.
        need = policy.need(call, now_ms, may_wait=False)
    if pool.is_held_at_home:
        left_out |= {
            name: replace(item, reason=HELD_AT_HOME)
            for name, item in left_out.items()
            if item.reason == UNKNOWN_RULE
        }
    return (*found, *left_out.values())


def _describe(pool: Pool, endpoint: Endpoint, need: CallNeed, now_ms: float) -> EndpointForecast:
    gate, reported = endpoint.gate, endpoint.reported
    limited_ms = gate.rate_limit_changed_ms
    has_succeeded = endpoint.slowness_updated_ms > 0
    return EndpointForecast(
        endpoint=endpoint.address.endpoint,
        availability_zone=endpoint.address.availability_zone,
        position=None,
        reason=_skip_reason(pool, endpoint, need, now_ms),
        in_flight=endpoint.in_flight,
        limit=int(min(pool.slot_limit(endpoint), gate.limit)),
        cost=pool.cost(endpoint, now_ms, need),
        slowness=endpoint.decayed_slowness(now_ms),
        distance_ms=endpoint.address.distance_ms,
        opens_in_ms=gate.opens_in_ms(now_ms),
        status_age_ms=now_ms - endpoint.since_ms,
        report_age_ms=now_ms - endpoint.reported_at_ms if reported is not None else None,
        success_age_ms=now_ms - endpoint.slowness_updated_ms if has_succeeded else None,
        limit_age_ms=now_ms - limited_ms if limited_ms > -math.inf else None,
        cold_left_ms=max(0.0, gate.cold.ends_ms - now_ms) if gate.cold is not None else None,
    )


def _notes(endpoint: Endpoint, now_ms: float) -> list[str]:
    """Return what makes an endpoint that takes the call cheaper or dearer than others."""
    notes = []
    if endpoint.status is EndpointStatus.EJECTED:
        notes.append("due for a trial")
    if now_ms < endpoint.warm_up_ends_ms:
        notes.append("warming up" if endpoint.gate.cold is None else "cold")
    if endpoint.address.distance_ms:
        notes.append("in another zone")
    if endpoint.consecutive_failures:
        notes.append(f"{endpoint.consecutive_failures} failures")
    return notes


def _skip_reason(pool: Pool, endpoint: Endpoint, need: CallNeed, now_ms: float) -> str:
    """Return why ``Pool.choose`` leaves an endpoint out; a rule added there is named here."""
    gate = endpoint.gate
    if pool.is_evacuated(endpoint):
        return f"zone {endpoint.address.availability_zone} is evacuated"
    if not endpoint.is_serving:
        until = ""
        if endpoint.status is EndpointStatus.EJECTED:
            until = f", for {max(0.0, endpoint.ejected_until_ms - now_ms):.0f} ms"
        return f"{endpoint.status.value}: {endpoint.status_reason}{until}"
    if gate.cold is not None and gate.cold.opens_in_ms(now_ms) > 0:
        cold_ms = f"cold for {gate.cold.ends_ms - now_ms:.0f} ms"
        if not gate.cold.rate_per_s:
            return f"{cold_ms}, this entry has no share of its calls"
        return f"{cold_ms}, next call in {gate.cold.opens_in_ms(now_ms):.0f} ms"
    if gate.closed_for_ms(now_ms):
        return f"closed itself for {gate.closed_for_ms(now_ms):.0f} ms"
    if gate.closure is not None and not gate.closure.admits(endpoint.started_ms(), now_ms):
        return f"reopening, takes {gate.closure.room} calls"
    if gate.opens_in_ms(now_ms):
        return f"rate limit, for {gate.opens_in_ms(now_ms):.0f} ms"
    limit = pool.slot_limit(endpoint)
    if endpoint.in_flight >= limit:
        until = ", returns after an ejection" if gate.reopening_room is not None else ""
        return f"slots taken: {endpoint.in_flight} of {limit:.0f}{until}"
    if pool.is_full(endpoint, need, now_ms):
        others = endpoint.decayed_others_in_flight(now_ms)
        return f"filled by other entries: about {others:.1f} calls of theirs"
    return UNKNOWN_RULE
