"""All detectors; importing this module fills the registry."""

from __future__ import annotations

from .detection import DETECTORS, NoDetector
from .peer_detector import PeerDetector

__all__ = ('DETECTORS', 'NoDetector', 'PeerDetector')
