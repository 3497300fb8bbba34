"""Structured logging through eliot: one line of key=value pairs per event."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final

from eliot import Logger, add_destinations

from .clock import monotonic_ms
from .log_output import BoundedOutput
from .log_rates import LogRates

_OMITTED_FIELDS: Final = frozenset(('task_uuid', 'task_level', 'message_type'))
_CHARACTERS_TO_QUOTE: Final = frozenset(' "=\n\r\t')
_DECIMAL_PLACES: Final = 3
_FLUSH_TIMEOUT_S: Final = 0.2

_rates: Final = LogRates()
_logger: Final = Logger()

WriteLine = Callable[[str], None]


class KeyValueDestination:
    """Eliot destination that formats messages as lines of key=value pairs.

    :param write_line: receives each line without the newline.
    """

    def __init__(self, write_line: WriteLine) -> None:
        self._write_line = write_line

    def __call__(self, message: dict[str, Any]) -> None:
        """Format and write one message.

        :param message: fields of the eliot message.
        """
        event = message.get('message_type', 'event')
        pairs = [f'event={event}']
        pairs.extend(
            f'{key}={_format(field)}'
            for key, field in message.items()
            if key not in _OMITTED_FIELDS
        )
        self._write_line(' '.join(pairs))


def start_bounded_logging(descriptor: int, stack: ExitStack) -> None:
    """Log all events to a file descriptor without ever blocking on it.

    :param descriptor: file descriptor, for example that of standard output.
    :param stack: flushes buffered lines for up to 0.2 s when it closes.
    """
    output = BoundedOutput(descriptor)
    add_destinations(KeyValueDestination(output.write))
    stack.callback(output.close)
    stack.callback(output.flush, _FLUSH_TIMEOUT_S)


def log_event(event: str, **fields: object) -> None:
    """Log one event, unless the rate limit of its name is exceeded.

    The field ``dropped_before`` gives the number of lines of the same event
    that were dropped before this one.

    :param event: name of the event, in kebab-case.
    :param fields: key=value pairs of the line.
    """
    now_ms = monotonic_ms()
    if not _rates.allow(event, now_ms):
        return
    dropped = _rates.pop_dropped(event, now_ms)
    if dropped:
        fields['dropped_before'] = dropped
    # Events belong to no task of eliot, whose identity would cost a random
    # number each.
    _logger.write({**fields, 'timestamp': time.time(), 'message_type': event})


def _format(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.{_DECIMAL_PLACES}f}'
    text = str(field)
    if text and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    return json.dumps(text, ensure_ascii=False)


__all__ = (
    'KeyValueDestination',
    'log_event',
    'start_bounded_logging',
)
