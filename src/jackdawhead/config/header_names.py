"""Names of the headers exchanged with callers and upstreams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers exchanged with callers and upstreams.

    An empty name disables a header.

    :param not_run: response header, of any value, with which an upstream
        declares that it has not run the request.
    :param instance: request header with the instance id of the upstream that
        the request is meant for.
    :param caller_service: request header with the service of the VM that the
        request comes from.
    :param echoed_id: request header that upstreams repeat in the response.
    :param seal: response header that marks a successful response as complete.
    :param credential: request header with the key of an organisation, which is
        not passed on.
    :param credential_scheme: word before the key, empty if there is none.
    :param upstream_organisation: request header in which upstreams get the
        name of the organisation that the key belongs to.
    """

    request_id: str = 'X-Request-Id'
    outcome: str = 'X-Outcome'
    deadline_ms: str = 'X-Deadline-Ms'
    retry_after_ms: str = 'X-Retry-After-Ms'
    organisation: str = 'X-Organisation'
    draining: str = 'X-Draining'
    node: str = 'X-Served-By'
    ticket: str = 'X-Ticket'
    not_run: str = ''
    instance: str = ''
    caller_service: str = ''
    echoed_id: str = ''
    seal: str = ''
    credential: str = ''
    credential_scheme: str = ''
    upstream_organisation: str = ''


__all__ = ('HeaderNames',)
