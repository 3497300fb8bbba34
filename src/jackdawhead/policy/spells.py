"""Probability that an upstream is in a spell of failing.

An upstream may fail most of its work for some seconds, again and again, while
its health check is good. Shares over a window of outcomes see such a spell
when half of it is over. A hidden Markov model of two states (Rabiner, 1989)
needs an outcome or two: each outcome shifts the probability by Bayes' rule,
and between outcomes it returns to its long-term share.
"""

from __future__ import annotations

from math import exp
from typing import Final

# Failures of an upstream that is well, and of one in a spell, as shares of
# its work: those of the recorded traces of both offices.
_HEALTHY_FAILURE_SHARE: Final = 0.015
_SPELL_FAILURE_SHARE: Final = 0.8
# Lengths of a spell and of the time between two, of the same traces.
_SPELL_MS: Final = 9000.0
_BETWEEN_SPELLS_MS: Final = 21_000.0
SPELL_SHARE: Final = _SPELL_MS / (_SPELL_MS + _BETWEEN_SPELLS_MS)
_RELAXATION_MS: Final = 1 / (1 / _SPELL_MS + 1 / _BETWEEN_SPELLS_MS)
RISK_SCALE: Final = 1000
# A failure of a busy upstream that was well lifts its probability above the
# first; a success soon after, or two after a spell, take it below the second.
SUSPECT_RISK: Final = 0.2
_CLEARED_RISK: Final = 0.1


def decayed_risk(risk: float, age_ms: float) -> float:
    """Return the probability some time after it was known.

    :param risk: what it was, 0 to 1.
    :param age_ms: time since then.
    """
    kept = exp(-max(0, age_ms) / _RELAXATION_MS)
    return SPELL_SHARE + (risk - SPELL_SHARE) * kept


class SpellEstimate:
    """Follows the outcomes of one upstream."""

    def __init__(self) -> None:
        self._risk: float = 0
        self._at_ms: float | None = None
        self._is_suspect = False

    def observe(self, now_ms: float, *, ok: bool) -> bool:
        """Take in an outcome.

        :param now_ms: monotonic time of its end.
        :param ok: whether the upstream did the work.
        :returns: whether all who use the upstream should know at once, since
            a spell seems to have begun or to be over.
        """
        is_first = self._at_ms is None
        before = SPELL_SHARE if is_first else self.risk(now_ms)
        in_spell = before * _likelihood(_SPELL_FAILURE_SHARE, ok=ok)
        well = (1 - before) * _likelihood(_HEALTHY_FAILURE_SHARE, ok=ok)
        self._risk = in_spell / (in_spell + well)
        self._at_ms = now_ms
        was_suspect = self._is_suspect
        if self._risk >= SUSPECT_RISK:
            self._is_suspect = True
        elif self._risk <= _CLEARED_RISK:
            self._is_suspect = False
        return self._is_suspect is not was_suspect

    def risk(self, now_ms: float) -> float:
        """Return the probability of a spell, 0 until anything is known.

        :param now_ms: monotonic time.
        """
        if self._at_ms is None:
            return 0
        return decayed_risk(self._risk, now_ms - self._at_ms)


def _likelihood(failures: float, *, ok: bool) -> float:
    return 1 - failures if ok else failures


__all__ = (
    'RISK_SCALE',
    'SUSPECT_RISK',
    'SPELL_SHARE',
    'SpellEstimate',
    'decayed_risk',
)
