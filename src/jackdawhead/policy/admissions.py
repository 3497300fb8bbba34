"""All admission rules; importing this module fills the registry."""

from __future__ import annotations

from .admission import ADMISSIONS, AdmissionRule
from .deadline_admission import DeadlineAdmission
from .fifo_admission import FifoAdmission
from .target_admission import TargetAdmission
from .value_admission import ValueAdmission

__all__ = (
    'ADMISSIONS',
    'AdmissionRule',
    'DeadlineAdmission',
    'FifoAdmission',
    'TargetAdmission',
    'ValueAdmission',
)
