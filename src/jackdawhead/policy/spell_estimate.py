"""Probability that an upstream is in a spell of failing.

An upstream may repeatedly fail most of its work for some seconds while its
health check passes. A failure rate over a window of outcomes shows such a
spell only when half of it is over. A hidden Markov model with two states
(Rabiner, 1989) needs one or two outcomes: each outcome updates the probability
by Bayes' rule, and between outcomes the probability relaxes towards the
long-term share of time that upstreams spend in spells.
"""

from __future__ import annotations

from math import exp, inf
from typing import Final

# Share of the work that fails at a healthy upstream, and at one in a spell of
# failing, in the recorded traces of both offices.
_HEALTHY_FAILURE_SHARE: Final = 0.015
_SPELL_FAILURE_SHARE: Final = 0.8
# Length of a spell, and of the time between two spells, in those traces.
_SPELL_MS: Final = 9000.0
_BETWEEN_SPELLS_MS: Final = 21_000.0
# Long-term share of time in spells.
SPELL_SHARE: Final = _SPELL_MS / (_SPELL_MS + _BETWEEN_SPELLS_MS)
# Time constant of the return to the long-term share.
_RELAXATION_MS: Final = 1 / (1 / _SPELL_MS + 1 / _BETWEEN_SPELLS_MS)
# Risks are sent as integers in thousandths.
RISK_SCALE: Final = 1000
# One failure of a busy, healthy upstream takes its risk above SUSPECT_RISK. A
# success soon after it, or two successes after a spell, take the risk below
# _CLEARED_RISK.
SUSPECT_RISK: Final = 0.2
_CLEARED_RISK: Final = 0.1
# An upstream above this risk is more likely failing than not.
LIKELY_FAILING_RISK: Final = 0.5


def decayed_risk(risk: float, age_ms: float) -> float:
    """Return a probability after some time without outcomes.

    :param risk: probability at the start, 0 to 1.
    :param age_ms: time since then.
    """
    kept = exp(-max(0, age_ms) / _RELAXATION_MS)
    return SPELL_SHARE + (risk - SPELL_SHARE) * kept


class SpellEstimate:
    """Estimates the risk of one upstream from the outcomes of its work."""

    def __init__(self) -> None:
        self._risk: float = 0
        self._at_ms: float | None = None
        self._is_suspect = False
        self._has_failed_last = False

    def observe(self, now_ms: float, *, ok: bool) -> bool:
        """Update the estimate with an outcome.

        :param now_ms: monotonic time at which the work ended.
        :param ok: whether the work succeeded.
        :returns: whether all entries should be notified at once, since a spell
            has probably begun or ended, or since the upstream has succeeded
            for the first time in a spell, so that further trials are due.
        """
        is_first_success = ok and self._has_failed_last and self._is_suspect
        self._has_failed_last = not ok
        is_first = self._at_ms is None
        before = SPELL_SHARE if is_first else self.risk(now_ms)
        in_spell = before * _likelihood(_SPELL_FAILURE_SHARE, ok=ok)
        healthy = (1 - before) * _likelihood(_HEALTHY_FAILURE_SHARE, ok=ok)
        self._risk = in_spell / (in_spell + healthy)
        self._at_ms = now_ms
        was_suspect = self._is_suspect
        if self._risk >= SUSPECT_RISK:
            self._is_suspect = True
        elif self._risk <= _CLEARED_RISK:
            self._is_suspect = False
        return is_first_success or self._is_suspect is not was_suspect

    @property
    def is_suspect(self) -> bool:
        """Whether a spell has probably begun, and not ended yet."""
        return self._is_suspect

    def risk(self, now_ms: float) -> float:
        """Return the probability of a spell, 0 before the first outcome.

        :param now_ms: monotonic time.
        """
        if self._at_ms is None:
            return 0
        return decayed_risk(self._risk, now_ms - self._at_ms)

    def evidence_age_ms(self, now_ms: float) -> float:
        """Return the time since the last outcome, infinite if there is none.

        :param now_ms: monotonic time.
        """
        return inf if self._at_ms is None else now_ms - self._at_ms


def _likelihood(failures: float, *, ok: bool) -> float:
    return 1 - failures if ok else failures


__all__ = (
    'LIKELY_FAILING_RISK',
    'RISK_SCALE',
    'SPELL_SHARE',
    'SUSPECT_RISK',
    'SpellEstimate',
    'decayed_risk',
)
