"""Replaces faulty entries of a configuration, so that the others can be used.

Operators publish one document for all services. One faulty entry must not
block the changes of all other entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .merge import MergedTree

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .problems import Problem
    from .sources import Plain

_SECTIONS: Final = (
    'zones',
    'services',
    'routes',
    'headers',
    'callers',
    'organisations',
)
_OPERATIONS: Final = 'operations'

Path = tuple[str, ...]


def replace_faulty_entries(
    tree: MergedTree,
    problems: tuple[Problem, ...],
    last_accepted: Mapping[str, Plain],
) -> MergedTree | None:
    """Return the tree with each faulty entry in its last accepted form.

    Entries are zones, services, operations, routes, headers, limits of callers
    and organisations. An entry is left out if it has no accepted form, or if
    that form is now faulty too. One that is in its accepted form, but clashes
    with another, is left out only if that doesn't end by replacing the other.

    :param tree: the merged files.
    :param problems: problems found in the tree.
    :param last_accepted: plain tree of the active configuration, empty if
        there is none.
    :returns: a new tree, or none if a problem cannot be attributed to a
        single entry.
    """
    plain = tree.plain
    paths: list[Path] = []
    for problem in problems:
        found = _entry_path(plain, problem.field)
        if found is None:
            return None
        paths.append(found)
    changed = [
        path for path in paths if _is_changed(plain, path, last_accepted)
    ]
    for path in dict.fromkeys(changed or paths):
        if not any(path[:size] in paths for size in range(1, len(path))):
            entry = _find(last_accepted, path)
            plain = _with_entry(plain, path, entry)
            if path[0] == 'routes' and isinstance(entry, dict):
                plain = _with_operations(plain, entry, last_accepted)
    return MergedTree(plain, tree.origins)


def _is_changed(
    plain: Mapping[str, Plain],
    path: Path,
    last_accepted: Mapping[str, Plain],
) -> bool:
    return _find(plain, path) != _find(last_accepted, path)


def _with_operations(
    plain: dict[str, Plain],
    route: Mapping[str, Plain],
    last_accepted: Mapping[str, Plain],
) -> dict[str, Plain]:
    """Return a copy with the operations that a restored route refers to."""
    split = route.get('split')
    services = split if isinstance(split, dict) else (route.get('service'),)
    for service in services:
        operations = ('services', str(service), _OPERATIONS)
        path = (*operations, str(route.get('operation')))
        operation = _find(last_accepted, path)
        is_missing = _find(plain, path) is None
        if is_missing and isinstance(_find(plain, operations), dict):
            plain = _with_entry(plain, path, operation)
    return plain


def _entry_path(plain: Mapping[str, Plain], field: str) -> Path | None:
    """Return the path of the entry that a field belongs to."""
    section, dot, rest = field.partition('.')
    if not dot:
        # The whole section is unknown.
        is_known = section in _SECTIONS or section not in plain
        return None if is_known else (section,)
    entries = plain.get(section)
    if section not in _SECTIONS or not isinstance(entries, dict):
        return None
    name = _leading_name(entries, rest)
    if name is None:
        return None
    return (
        section,
        name,
        *_operation_path(entries[name], rest[len(name) + 1 :]),
    )


def _operation_path(entry: Plain, field: str) -> Path:
    """Return the path of an operation within its service.

    It is empty if the field does not belong to an operation.
    """
    part, _, rest = field.partition('.')
    if part != _OPERATIONS or not isinstance(entry, dict):
        return ()
    name = _leading_name(entry.get(part), rest)
    return () if name is None else (part, name)


def _leading_name(entries: Plain, dotted: str) -> str | None:
    """Return the entry name at the start of a path; names may contain dots."""
    if not isinstance(entries, dict):
        return None
    while dotted and dotted not in entries:
        dotted = dotted.rpartition('.')[0]
    return dotted if dotted in entries else None


def _find(plain: Mapping[str, Plain], path: Path) -> Plain:
    """Return the value at a path, none if there is none."""
    found: Plain = dict(plain)
    for name in path:
        if not isinstance(found, dict):
            return None
        found = found.get(name)
    return found


def _with_entry(
    plain: dict[str, Plain],
    path: Path,
    last_accepted: Plain,
) -> dict[str, Plain]:
    """Return a copy with an entry replaced by its last accepted form.

    The entry is removed if there is no accepted form, or if it is equal to
    the faulty one.
    """
    name, *rest = path
    changed = dict(plain)
    if rest:
        inner = changed[name]
        assert isinstance(inner, dict)
        changed[name] = _with_entry(inner, tuple(rest), last_accepted)
    elif last_accepted is None or last_accepted == changed.get(name):
        changed.pop(name, None)
    else:
        changed[name] = last_accepted
    return changed


__all__ = ('replace_faulty_entries',)
