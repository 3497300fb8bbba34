"""All detectors; importing this module fills the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .detection import DETECTORS, NoDetector
from .peer_detector import PeerDetector

if TYPE_CHECKING:
    from ..config.model import Service
    from .detection import Detector


def detector_of(service: Service) -> Detector:
    """Return a detector without state, of the kind that a service uses.

    :param service: service with its detection policy.
    """
    return DETECTORS.find(service.detection.detector).unwrap()(service)


__all__ = ('DETECTORS', 'NoDetector', 'PeerDetector', 'detector_of')
