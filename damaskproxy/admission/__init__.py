"""Admission control of a backend server: concurrency limit, queue and level."""

from damaskproxy.admission.controller import AdmissionController
from damaskproxy.admission.fair_shares import FairShares
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.admission.tickets import (
    LEVEL_COUNT,
    Permit,
    Ticket,
    admission_position,
)

__all__ = [
    "LEVEL_COUNT",
    "AdmissionController",
    "AdmissionSettings",
    "FairShares",
    "Permit",
    "Ticket",
    "admission_position",
]
