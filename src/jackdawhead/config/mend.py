"""Takes faulty entries out of a configuration, so that the rest holds.

Load pattern: operators publish one document for all services. One entry that
cannot be understood must not keep the changes of all others from coming into
force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .merge import MergedTree

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .problems import Problem
    from .sources import Plain

_SECTIONS: Final = ('zones', 'services', 'routes', 'headers', 'callers')
_PARTS_OF_ENTRY: Final = 'operations'

Path = tuple[str, ...]


def mend_tree(
    tree: MergedTree,
    problems: tuple[Problem, ...],
    former: Mapping[str, Plain],
) -> MergedTree | None:
    """Return the tree with each faulty entry in its former form, or without.

    Entries are zones, services with their operations, routes, headers and
    limits of callers. An entry that is faulty in its former form too is left
    out.

    :param tree: the merged files.
    :param problems: what is wrong with them.
    :param former: the plain tree in force, empty if there is none.
    :returns: another tree, or nothing if a problem concerns no single entry.
    """
    paths = dict.fromkeys(
        _entry_path(tree.plain, problem.field) for problem in problems
    )
    plain = tree.plain
    for path in paths:
        if path is None:
            return None
        if not any(path[:size] in paths for size in range(1, len(path))):
            entry = _find(former, path)
            plain = _with_entry(plain, path, entry)
            if path[0] == 'routes' and isinstance(entry, dict):
                plain = _with_operation(plain, entry, former)
    return MergedTree(plain, tree.origins)


def _with_operation(
    plain: dict[str, Plain],
    route: Mapping[str, Plain],
    former: Mapping[str, Plain],
) -> dict[str, Plain]:
    """Return a copy with the kind of work that a former route names."""
    split = route.get('split')
    services = split if isinstance(split, dict) else (route.get('service'),)
    for service in services:
        operations = ('services', str(service), _PARTS_OF_ENTRY)
        path = (*operations, str(route.get('operation')))
        operation = _find(former, path)
        is_missing = _find(plain, path) is None
        if is_missing and isinstance(_find(plain, operations), dict):
            plain = _with_entry(plain, path, operation)
    return plain


def _entry_path(plain: Mapping[str, Plain], field: str) -> Path | None:
    """Return the path of the entry that a field stands in."""
    section, dot, rest = field.partition('.')
    if not dot:
        # A section that is unknown as a whole.
        is_known = section in _SECTIONS or section not in plain
        return None if is_known else (section,)
    entries = plain.get(section)
    if section not in _SECTIONS or not isinstance(entries, dict):
        return None
    name = _longest_name(entries, rest)
    if name is None:
        return None
    return (section, name, *_inner_path(entries[name], rest[len(name) + 1 :]))


def _inner_path(entry: Plain, field: str) -> Path:
    """Return the path of an operation within a service, if it is one."""
    part, _, rest = field.partition('.')
    if part != _PARTS_OF_ENTRY or not isinstance(entry, dict):
        return ()
    name = _longest_name(entry.get(part), rest)
    return () if name is None else (part, name)


def _longest_name(entries: Plain, dotted: str) -> str | None:
    """Return the entry that a dotted path begins with; names may hold dots."""
    if not isinstance(entries, dict):
        return None
    while dotted and dotted not in entries:
        dotted = dotted.rpartition('.')[0]
    return dotted if dotted in entries else None


def _find(plain: Mapping[str, Plain], path: Path) -> Plain:
    """Return what stands at a path, or nothing."""
    found: Plain = dict(plain)
    for name in path:
        if not isinstance(found, dict):
            return None
        found = found.get(name)
    return found


def _with_entry(
    plain: dict[str, Plain],
    path: Path,
    former: Plain,
) -> dict[str, Plain]:
    """Return a copy with the entry in its former form, or without it."""
    name, *rest = path
    changed = dict(plain)
    if rest:
        inner = changed[name]
        assert isinstance(inner, dict)
        changed[name] = _with_entry(inner, tuple(rest), former)
    elif former is None or former == changed.get(name):
        changed.pop(name, None)
    else:
        changed[name] = former
    return changed


__all__ = ('mend_tree',)
