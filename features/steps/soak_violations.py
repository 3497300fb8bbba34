"""Changes to the evidence of a soak run, each of which may be a violation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from soak.evidence import NOT_RUN, Evidence

VIOLATIONS: Final[dict[str, Callable[[Evidence], None]]] = {}


def violation(
    name: str,
) -> Callable[[Callable[[Evidence], None]], Callable[[Evidence], None]]:
    """Return a decorator that registers a change to the evidence."""

    def decorate(
        function: Callable[[Evidence], None],
    ) -> Callable[[Evidence], None]:
        VIOLATIONS[name] = function
        return function

    return decorate


@violation('an answer to another request')
def add_foreign_answer(evidence: Evidence) -> None:
    """Mark an answer as that of another request."""
    evidence.requests[0].is_answer_valid = False


@violation('a run for another organisation')
def add_foreign_run(evidence: Evidence) -> None:
    """Tell an upstream the name of another organisation."""
    evidence.runs[0] = replace(evidence.runs[0], organisation='bolt')


@violation('a run whose upstream got the key')
def add_leaked_key(evidence: Evidence) -> None:
    """Pass a key on."""
    evidence.runs[0] = replace(evidence.runs[0], has_key=True)


@violation('a run with an unknown key')
def add_keyless_run(evidence: Evidence) -> None:
    """Run a request that has no right to it."""
    evidence.keyless.append('k')
    evidence.runs.append(replace(evidence.runs[0], key='k'))


@violation('a second run of non-idempotent work')
def add_second_run(evidence: Evidence) -> None:
    """Add a second run of a request."""
    evidence.runs.append(evidence.runs[0])


@violation('a run of a request refused as not run')
def add_wrong_refusal(evidence: Evidence) -> None:
    """Report not run for a request that an upstream has started."""
    evidence.requests[0].status = 503
    evidence.requests[0].outcome = NOT_RUN


@violation('an answer without a run')
def remove_run(evidence: Evidence) -> None:
    """Remove the run of a served request."""
    evidence.runs.pop(0)


@violation('a run at an upstream that left long ago')
def add_late_run(evidence: Evidence) -> None:
    """Move a run to an upstream that has been leaving for 5 s."""
    evidence.runs[0] = replace(
        evidence.runs[0], upstream='vm-2/desk', started_s=10
    )


@violation('a return to an older configuration')
def add_old_config(evidence: Evidence) -> None:
    """Give one sample of a node an older version."""
    evidence.samples[5] = replace(evidence.samples[5], config_version=1)


@violation('a node that misses the newest version')
def add_missed_config(evidence: Evidence) -> None:
    """Publish a version that no node activates."""
    evidence.published.append((1, 3))


@violation('a node that ejects three of four')
def add_ejections(evidence: Evidence) -> None:
    """Leave one healthy upstream of four."""
    evidence.samples[0] = replace(evidence.samples[0], healthy=1)


@violation('failed requests at the end of the run')
def add_failed_request(evidence: Evidence) -> None:
    """Make one of the last requests fail."""
    evidence.requests[-1].status = 502


@violation('a request interrupted by a planned stop')
def add_interrupted_request(evidence: Evidence) -> None:
    """Reset the connection of a request while its node stops."""
    cut = evidence.requests[14]
    cut.error = 'ConnectionResetError'
    cut.status = 0
    cut.outcome = ''


@violation('a planned stop with exit code 1')
def add_exit_code(evidence: Evidence) -> None:
    """Give a stopped node an error exit code."""
    evidence.stops[0] = replace(evidence.stops[0], exit_code=1)


@violation('a spare connection closed during a run')
def add_closed_spare(evidence: Evidence) -> None:
    """Close the spare connection of a request that an upstream has begun."""
    add_interrupted_request(evidence)
    evidence.requests[14].is_from_holder = True


@violation('a spare connection closed without a run')
def add_crossing_request(evidence: Evidence) -> None:
    """Close a spare connection as its request arrives."""
    add_closed_spare(evidence)
    crossing = evidence.requests[14]
    crossing.ended_s = crossing.sent_s + 0.1
    evidence.runs.pop(14)


@violation('a run cut off with an answer by a stop')
def add_cut_request(evidence: Evidence) -> None:
    """Answer a request that ran as a bad gateway while its node stops."""
    cut = evidence.requests[14]
    cut.status = 502
    cut.outcome = 'unknown'


@violation('a failed request during a stop and a crash')
def add_failure_beside_crash(evidence: Evidence) -> None:
    """Let an upstream crash while a node stops."""
    add_cut_request(evidence)
    evidence.faults.append((10, 11, 'upstream-crashed vm-0/desk'))
