"""Logs: one line of key=value pairs for each event, through eliot."""

from __future__ import annotations

import json
import sys
from typing import IO, Any, Final

import eliot

_HIDDEN: Final = frozenset(('task_uuid', 'task_level', 'message_type'))
_QUOTED: Final = frozenset(' "=\n\r\t')
_PLACES: Final = 3


class KeyValueDestination:
    """Writes eliot messages as lines of key=value pairs.

    :param out: text stream.
    """

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message.

        :param message: fields as eliot gives them.
        """
        event = message.get('message_type', 'event')
        pairs = [f'event={event}']
        pairs.extend(
            f'{key}={_format(field)}'
            for key, field in message.items()
            if key not in _HIDDEN
        )
        print(*pairs, file=self._out)  # noqa: WPS421
        self._out.flush()


def start_logging(out: IO[str] | None = None) -> None:
    """Send all events to a stream.

    :param out: text stream, standard error by default.
    """
    eliot.add_destinations(KeyValueDestination(out or sys.stderr))


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    :param event: its name, in kebab-case.
    :param fields: what to say about it.
    """
    eliot.log_message(message_type=event, **fields)


def _format(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.{_PLACES}f}'
    text = str(field)
    if text and not _QUOTED.intersection(text):
        return text
    return json.dumps(text, ensure_ascii=False)


__all__ = ('KeyValueDestination', 'log_event', 'start_logging')
