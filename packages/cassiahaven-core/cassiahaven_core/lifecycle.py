"""Lifecycle of an upstream endpoint, loaded from its state chart file."""

from enum import Enum
from functools import cache
from importlib.resources import files

import yaml


class EndpointStatus(Enum):
    """States of the endpoint lifecycle."""

    COLD = "cold"
    READY = "ready"
    EJECTED = "ejected"
    TRIAL = "trial"
    DRAINED_BY_OPERATOR = "drained_by_operator"
    DRAINING = "draining"
    GONE = "gone"


class EndpointEvent(Enum):
    """Events of the endpoint lifecycle."""

    WARMED = "warmed"
    FAILING = "failing"
    TRIAL = "trial"
    SUCCEEDED = "succeeded"
    DRAIN = "drain"
    OPERATOR_DRAIN = "operator_drain"
    OPERATOR_UNDRAIN = "operator_undrain"
    REMOVED = "removed"


SERVING = frozenset({EndpointStatus.COLD, EndpointStatus.READY})


def chart_text() -> str:
    """Return the YAML source of the state chart."""
    return files("cassiahaven_core").joinpath("endpoint.yaml").read_text(encoding="utf-8")


def next_status(status: EndpointStatus, event: EndpointEvent) -> EndpointStatus:
    """Return the state after ``event``, unchanged if the event has no transition."""
    return _target_by_transition().get((status, event), status)


@cache
def _target_by_transition() -> dict[tuple[EndpointStatus, EndpointEvent], EndpointStatus]:
    # All endpoints share one transition index: an interpreter per endpoint would take more memory
    # than the rest of its state, and loading one takes longer than the rest of the start-up.
    chart = yaml.safe_load(chart_text())["statechart"]
    return {
        (EndpointStatus(state["name"]), EndpointEvent(item["event"])): EndpointStatus(
            item["target"]
        )
        for state in chart["root state"]["states"]
        for item in state.get("transitions", ())
    }
