"""Logs: one line of key=value pairs for each event, through eliot."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final

import eliot

from .clock import monotonic_ms
from .log_output import BoundedOutput
from .log_rates import LogRates

_HIDDEN: Final = frozenset(('task_uuid', 'task_level', 'message_type'))
_QUOTED: Final = frozenset(' "=\n\r\t')
_PLACES: Final = 3
_FLUSH_S: Final = 0.2

_rates: Final = LogRates()

WriteLine = Callable[[str], None]


class KeyValueDestination:
    """Writes eliot messages as lines of key=value pairs.

    :param write_line: takes a line without its end.
    """

    def __init__(self, write_line: WriteLine) -> None:
        self._write_line = write_line

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
        self._write_line(' '.join(pairs))


def start_bounded_logging(descriptor: int, stack: ExitStack) -> None:
    """Send all events to a file descriptor, never waiting for its reader.

    :param descriptor: for example that of standard output.
    :param stack: writes out what is left when it closes.
    """
    output = BoundedOutput(descriptor)
    eliot.add_destinations(KeyValueDestination(output.write))
    stack.callback(output.close)
    stack.callback(output.flush, _FLUSH_S)


def log_event(event: str, **fields: object) -> None:
    """Log one event, unless there were too many of its name just now.

    A line says how many of the same name were left out before it.

    :param event: its name, in kebab-case.
    :param fields: what to say about it.
    """
    now_ms = monotonic_ms()
    if not _rates.take(event, now_ms):
        return
    dropped = _rates.take_dropped(event, now_ms)
    if dropped:
        fields['dropped_before'] = dropped
    eliot.log_message(message_type=event, **fields)


def _format(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.{_PLACES}f}'
    text = str(field)
    if text and not _QUOTED.intersection(text):
        return text
    return json.dumps(text, ensure_ascii=False)


__all__ = (
    'KeyValueDestination',
    'log_event',
    'start_bounded_logging',
)
