"""Order of the VM lists that several nodes read from the platform.

Load pattern: some nodes are cut off from the platform for seconds, and
upstreams leave meanwhile, or just before these nodes reach the platform again.
Such a node holds removals back for a moment, since entries may be missing only
because of the outage. Its provisional list is newer than those of other nodes
and knows less: it must not replace a list from which an upstream has been
removed.

A list is therefore ordered by the revision up to which it is known to be
complete. A provisional list follows the complete list that it is based on, and
precedes every complete list of a later revision.

The platform may come back from an older copy of its data, and then gives
revisions out again. Revisions are therefore compared only within one
generation of that data; a later generation goes before all earlier ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_VERSIONS_PER_REVISION: Final = 2


@dataclass(frozen=True, slots=True, order=True)
class ListOrder:
    """Place of a VM list among all lists; the largest is the newest.

    :param generation: generation of the platform's data, which rises with
        each return from an older copy; 0 if it is unknown.
    :param version: version of the list within the generation.
    """

    generation: int = 0
    version: int = 0


def complete_version(revision: int) -> int:
    """Return the version of a list that includes all changes.

    :param revision: revision of the platform that the list reflects.
    """
    return _VERSIONS_PER_REVISION * revision + 1


def provisional_version(base_revision: int) -> int:
    """Return the version of a list with removals that are held back.

    :param base_revision: revision of the complete list that it is based on,
        0 if there is none.
    """
    return _VERSIONS_PER_REVISION * (base_revision + 1)


def complete_revision(version: int) -> int:
    """Return the revision up to which a list is complete.

    :param version: version of the list, complete or provisional; 0 if there is
        no list.
    """
    return max(0, (version - 1) // _VERSIONS_PER_REVISION)


def is_provisional(version: int) -> bool:
    """Return whether a list may differ from others of its version.

    Two nodes that come back at different moments base their provisional lists
    on one complete list. A change from such a version must not be applied to
    another list of this version.

    :param version: version of the list, 0 if there is no list.
    """
    return version > 0 and version % _VERSIONS_PER_REVISION == 0


__all__ = (
    'ListOrder',
    'complete_revision',
    'complete_version',
    'is_provisional',
    'provisional_version',
)
