"""Headers of a caller's request, parsed quickly and within bounds.

The parser that gevent's server uses by default is that of the standard
library for mail, which takes about a third of the time of a request.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from typing import BinaryIO

    from ..wire.messages import HeaderPairs

MAX_LINE_BYTES: Final = 8192
MAX_HEADERS: Final = 100
_LENGTH: Final = 'content-length'
_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


class RequestHeaders:
    """Headers as :class:`gevent.pywsgi.WSGIHandler` wants them.

    The attribute ``status`` says what is wrong with them, if anything is;
    ``headers`` holds the lines for the WSGI environment and ``pairs`` all
    names and values as they came. Names with an underscore are not in the
    environment, which would take them for those with a hyphen.

    :param rfile: buffered reader, at the line after the request line.
    """

    def __init__(self, rfile: BinaryIO, *_: object) -> None:
        self.status = ''
        self.headers: list[str] = []
        self.pairs: HeaderPairs = []
        self._by_name: dict[str, str] = {}
        while not self.status:
            line = rfile.readline(MAX_LINE_BYTES + 1)
            if line in {b'\r\n', b'\n'}:
                break
            if line:
                self._add(line)
            else:
                self.status = 'head cut'

    @property
    def typeheader(self) -> str | None:
        """Value of Content-Type."""
        return self._by_name.get('content-type')

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header.

        :param name: in any case.
        :param default: returned if there is no such header.
        """
        return self._by_name.get(name.lower(), default)

    def getheader(self, name: str) -> str | None:
        """Return the value of a header, or nothing.

        :param name: in any case.
        """
        return self.get(name)

    def replace_host(self, host: str) -> None:
        """Take the host of the request's target, which goes before the field.

        :param host: with its port, if any.
        """
        self.pairs = [each for each in self.pairs if each[0].lower() != 'host']
        self.pairs.append(['Host', host])
        self.headers = [
            each
            for each in self.headers
            if not each.lower().startswith('host:')
        ]
        self.headers.append(f'Host: {host}')

    def __delitem__(self, name: str) -> None:  # noqa: WPS603
        """Forget a header.

        :raises KeyError: if there is no such header.
        """
        self._by_name.pop(name.lower())

    def _add(self, line: bytes) -> None:
        text = line.decode('latin-1')
        name, _, field = text.partition(':')
        field = field.strip(' \t\r\n')
        self.status = self._problem_of(line, name, field)
        if self.status:
            return
        self.pairs.append([name, field])
        self._by_name[name.lower()] = field
        if '_' not in name:
            self.headers.append(text)

    def _problem_of(self, line: bytes, name: str, field: str) -> str:
        if len(line) > MAX_LINE_BYTES or len(self.pairs) >= MAX_HEADERS:
            return 'headers too large'
        is_whole = b':' in line and line.endswith(b'\n')
        if not is_whole or not _NAME.fullmatch(name):
            return 'malformed header'
        if _CONTROL.search(field):
            return 'control character in a header'
        if name.lower() == _LENGTH and _LENGTH in self._by_name:
            return 'repeated Content-Length'
        return ''


__all__ = ('MAX_HEADERS', 'MAX_LINE_BYTES', 'RequestHeaders')
