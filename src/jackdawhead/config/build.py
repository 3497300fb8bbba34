"""Builds the typed configuration from validated plain data."""

from __future__ import annotations

import json
from typing import Any, Final

import xxhash

from .model import (
    CallerPolicy,
    Config,
    DetectionPolicy,
    HeaderNames,
    Operation,
    PoisonPolicy,
    QueuePolicy,
    RetryPolicy,
    Route,
    Service,
    WorkClass,
    Zone,
)
from .organisation import Organisation

_QUEUE_DEFAULTS: Final = {
    'admission': 'deadline',
    'max_wait_ms': 500,
    'long_slots_percent': 67,
    'aging_ms': 1500,
}
_RETRY_DEFAULTS: Final = {
    'budget_percent': 8,
    'redirect_percent': 50,
    'max_attempts': 3,
    'backoff_ms': 20,
    'saved_resends': 3,
    'home_percent': 100,
}
_DETECTION_DEFAULTS: Final = {
    'detector': 'peers',
    'window_ms': 4000,
    'min_samples': 8,
    'error_percent': 30,
    'slow_factor': 3.0,
    'ejection_ms': 5000,
    'max_ejection_ms': 300_000,
    'warm_up_ms': 5000,
}
_POISON_DEFAULTS: Final = {
    'max_crashes': 2,
    'quarantine_ms': 600_000,
}
_DEFAULT_SUBSET_SIZE: Final = 30
_DEFAULT_SUBSET: Final = 'rendezvous'
_DEFAULT_BALANCER: Final = 'least-wait'
_DEFAULT_EXPECTED_MS: Final = {WorkClass.SHORT: 50, WorkClass.LONG: 2000}

Fields = dict[str, Any]


def build_config(plain: Fields) -> Config:
    """Build the typed configuration, filling in the defaults.

    :param plain: nested mappings that passed validation.
    """
    return Config(
        digest=content_digest(plain),
        zones={
            name: Zone(name, zone['region'])
            for name, zone in plain['zones'].items()
        },
        services={
            name: build_service(name, service)
            for name, service in plain['services'].items()
        },
        routes={
            name: Route(name=name, **route)
            for name, route in plain['routes'].items()
        },
        headers=HeaderNames(**plain.get('headers', {})),
        callers=CallerPolicy(**plain.get('callers', {})),
        organisations={
            name: _build_organisation(name, organisation)
            for name, organisation in plain.get('organisations', {}).items()
        },
        requires_keys='organisations' in plain,
    )


def content_digest(plain: object) -> str:
    """Hash plain data and return the digest as 32 hexadecimal digits.

    The hash is 128-bit XXH3 over JSON with sorted keys.

    :param plain: nested mappings, lists and scalars.
    """
    text = json.dumps(plain, sort_keys=True, default=str)
    return xxhash.xxh3_128_hexdigest(text.encode())


def build_service(name: str, plain: Fields) -> Service:
    """Build a service, filling in the defaults.

    :param name: name of the service.
    :param plain: fields of the service that passed validation.
    """
    return Service(
        name=name,
        zones=tuple(plain['zones']),
        slots_per_upstream=plain['slots_per_upstream'],
        connections_per_upstream=plain['connections_per_upstream'],
        healthy_floor_percent=plain['healthy_floor_percent'],
        subset_size=plain.get('subset_size', _DEFAULT_SUBSET_SIZE),
        balancer=plain.get('balancer', _DEFAULT_BALANCER),
        operations={
            operation: _build_operation(operation, fields)
            for operation, fields in plain['operations'].items()
        },
        queue=QueuePolicy(**_QUEUE_DEFAULTS | plain.get('queue', {})),
        retry=RetryPolicy(**_RETRY_DEFAULTS | plain.get('retry', {})),
        detection=DetectionPolicy(
            **_DETECTION_DEFAULTS | plain.get('detection', {}),
        ),
        poison=PoisonPolicy(**_POISON_DEFAULTS | plain.get('poison', {})),
        subset=plain.get('subset', _DEFAULT_SUBSET),
    )


def _build_organisation(name: str, plain: Fields) -> Organisation:
    key_digests = frozenset(plain['key_digests'])
    return Organisation(name, **plain | {'key_digests': key_digests})


def _build_operation(name: str, plain: Fields) -> Operation:
    work_class = WorkClass(plain['work_class'])
    expected_ms = min(_DEFAULT_EXPECTED_MS[work_class], plain['deadline_ms'])
    return Operation(
        name=name,
        idempotent=plain['idempotent'],
        work_class=work_class,
        deadline_ms=plain['deadline_ms'],
        expected_ms=plain.get('expected_ms', expected_ms),
        target_ms=plain.get('target_ms') or plain['deadline_ms'],
        priority=plain.get('priority', 0),
    )


__all__ = ('build_config', 'build_service', 'content_digest')
