"""Isolates unexpected errors to the task in which they occur."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import gevent

from ..clock import seconds
from ..logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

_RESTART_DELAY_MS: Final = 500
_MAX_CONTEXT_CHARS: Final = 200
_EXPECTED_EXITS: Final = (gevent.GreenletExit, KeyboardInterrupt, SystemExit)


def supervise(loop: Callable[..., None], *arguments: object) -> None:
    """Run a loop and restart it after each unexpected error.

    :param loop: function that runs until its greenlet is killed.
    :param arguments: arguments of the loop.
    :raises AssertionError: if an invariant is broken in the loop.
    """
    while True:
        try:
            loop(*arguments)
        except AssertionError:
            raise
        except Exception as error:
            log_event(
                'loop-failed',
                loop=getattr(loop, '__qualname__', repr(loop)),
                cause=f'{type(error).__name__}: {error}',
            )
        else:
            return
        gevent.sleep(seconds(_RESTART_DELAY_MS))


def log_greenlet_errors() -> None:
    """Log each unexpected error that ends a greenlet as one line."""
    gevent.get_hub().handle_error = _log_error


def _log_error(
    context: Any,
    kind: type[BaseException],
    error: BaseException,
    _: object,
) -> None:
    if kind is not None and not issubclass(kind, _EXPECTED_EXITS):
        log_event(
            'task-failed',
            task=str(context)[:_MAX_CONTEXT_CHARS],
            cause=f'{kind.__name__}: {error}',
        )


__all__ = ('log_greenlet_errors', 'supervise')
