"""Forecast of what would happen to a call, from a copy of the state that decides."""

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

CHOSEN = "chosen"
NEXT = "next"


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
    """

    verdict: Verdict
    endpoint: str
    reason: str
    wait_ms: float | None
    retry_after_ms: float | None
    waiting: int
    endpoints: tuple[EndpointForecast, ...]


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
    endpoints = _order(_copy(policy).pool, call, now_ms)
    waiting = trial.admission.waiting
    for effect in trial.submit(call, now_ms):
        if effect.call_id != call.call_id:
            continue
        match effect:
            case Dispatch(address=address):
                return CallForecast(
                    Verdict.SENT, address.endpoint, "", 0.0, None, waiting, endpoints
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


def _order(pool: Pool, call: WaitingCall, now_ms: float) -> tuple[EndpointForecast, ...]:
    """Return the endpoints in the order of ``Pool.choose``, then those that it leaves out."""
    # Finding the order may start trials, so what is told of the endpoints is taken before.
    left_out = {
        name: _describe(pool, endpoint, now_ms)
        for name, endpoint in sorted(pool.endpoint_by_id.items())
    }
    notes_by_name = {
        name: _notes(endpoint, now_ms) for name, endpoint in pool.endpoint_by_id.items()
    }
    found: list[EndpointForecast] = []
    tried: frozenset[str] = frozenset()
    while (chosen := pool.choose(now_ms, idempotent=call.idempotent, excluded=tried)) is not None:
        name = chosen.address.endpoint
        tried |= {name}
        reason = ", ".join([NEXT if found else CHOSEN, *notes_by_name[name]])
        found.append(replace(left_out.pop(name), position=len(tried), reason=reason))
    return (*found, *left_out.values())


def _describe(pool: Pool, endpoint: Endpoint, now_ms: float) -> EndpointForecast:
    gate, reported = endpoint.gate, endpoint.reported
    has_succeeded = endpoint.slowness_updated_ms > 0
    return EndpointForecast(
        endpoint=endpoint.address.endpoint,
        availability_zone=endpoint.address.availability_zone,
        position=None,
        reason=_skip_reason(pool, endpoint, now_ms),
        in_flight=endpoint.in_flight,
        limit=gate.limit,
        cost=pool.cost(endpoint, now_ms),
        slowness=endpoint.decayed_slowness(now_ms),
        distance_ms=endpoint.address.distance_ms,
        opens_in_ms=gate.opens_in_ms(now_ms),
        status_age_ms=now_ms - endpoint.since_ms,
        report_age_ms=now_ms - endpoint.reported_at_ms if reported is not None else None,
        success_age_ms=now_ms - endpoint.slowness_updated_ms if has_succeeded else None,
    )


def _notes(endpoint: Endpoint, now_ms: float) -> list[str]:
    """Return what makes an endpoint that takes the call cheaper or dearer than others."""
    notes = []
    if endpoint.status is EndpointStatus.EJECTED:
        notes.append("due for a trial")
    if now_ms < endpoint.warm_up_ends_ms:
        notes.append("warming up")
    if endpoint.address.distance_ms:
        notes.append("in another zone")
    if endpoint.consecutive_failures:
        notes.append(f"{endpoint.consecutive_failures} failures")
    return notes


def _skip_reason(pool: Pool, endpoint: Endpoint, now_ms: float) -> str:
    """Return why ``Pool.choose`` leaves an endpoint out; a rule added there is named here."""
    gate = endpoint.gate
    if not endpoint.is_serving:
        until = ""
        if endpoint.status is EndpointStatus.EJECTED:
            until = f", for {max(0.0, endpoint.ejected_until_ms - now_ms):.0f} ms"
        return f"{endpoint.status.value}: {endpoint.status_reason}{until}"
    if gate.closed_for_ms(now_ms):
        return f"closed itself for {gate.closed_for_ms(now_ms):.0f} ms"
    if gate.closure is not None and not gate.closure.admits(endpoint.started_ms(), now_ms):
        return f"reopening, takes {gate.closure.room} calls"
    if gate.opens_in_ms(now_ms):
        return f"rate limit, for {gate.opens_in_ms(now_ms):.0f} ms"
    limit = min(pool.slot_limit(endpoint), gate.room)
    if endpoint.in_flight >= limit:
        return f"slots taken: {endpoint.in_flight} of {limit:.0f}"
    return "left out by another rule"
