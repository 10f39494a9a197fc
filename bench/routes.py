"""Measures what a configuration of 2,000 routes costs one instance.

A new version is parsed and indexed on every instance, in the event loop, while
callers wait. Each request is then routed.
"""

import time

import msgspec

from bench.report import Report
from cyclamentrack_platform.entries import PlatformEntries

_ROUTES = 2000
_VERSIONS = 20
_LOOKUPS = 20_000
# A configuration must be in force within 2 s on all instances; no more than a
# twentieth of that may block a loop.
_MAX_PARSE_MS = 100.0
_MAX_LOOKUP_US = 50.0


def measure() -> Report:
    """Measure parsing with indexing, and a look-up."""
    decoder = PlatformEntries()
    bodies = [_body(version) for version in range(1, _VERSIONS + 1)]
    parse_ms = []
    configuration = None
    for body in bodies:
        began = time.process_time()
        configuration = decoder.configuration(body)
        configuration.index.route(host='h', path='/')
        parse_ms.append((time.process_time() - began) * 1000)
    began = time.process_time()
    for number in range(_LOOKUPS):
        path = f'/q{number % _ROUTES}/5c0e7a21d94b36f8'
        configuration.route(host='h', path=path)
    lookup_us = (time.process_time() - began) / _LOOKUPS * 1e6
    report = Report(
        name='routes',
        headings=['routes', 'bytes', 'parse ms, most', 'look-up us'],
    )
    report.add(_ROUTES, len(bodies[0]), max(parse_ms), lookup_us)
    report.at_most(
        'processor time of a new version',
        target=_MAX_PARSE_MS,
        measured=max(parse_ms),
        unit='ms',
    )
    report.at_most(
        'processor time of a look-up',
        target=_MAX_LOOKUP_US,
        measured=lookup_us,
        unit='us',
    )
    return report


def _body(version: int) -> bytes:
    routes = [
        {
            'Name': f'q{number}',
            'Host': 'h',
            'PathPrefix': f'/q{number}/',
            'Service': 's',
            'Priority': number % 3,
            'Stretch': 2.2,
            'TargetLatencyMs': 250,
            'Advice': {'DecideMs': 20, 'EachMs': 0.3, 'ValidMs': 1500},
        }
        for number in range(_ROUTES)
    ]
    return msgspec.json.encode(
        {'Version': version, 'Routes': routes, 'Services': [{'Name': 's'}]}
    )
