"""Evacuations of availability zones, ordered by the platform's operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A zone whose endpoints get no calls while this is stored."""

    availability_zone: str
