"""Steps about odd entries of other writers."""

import json

from behave import then

from cyclamentrack_platform.entries import PlatformEntries

_DEPTH = 20_000
_DEEP = b'[' * _DEPTH + b']' * _DEPTH
_VALID_WORKER = {
    'Service': 's',
    'Address': '10.0.0.3:80',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'Capacity': {'Cpu': 1, 'MemMb': 1},
    'Labels': ['a', 'r1-3'],
    'Sequence': 4,
}
_ODD_FIELDS = {
    'a number too large': {'born': 10**400},
    'a negative capacity': {'Capacity': {'Cpu': -1, 'MemMb': 1}},
    'an excessive capacity': {'Capacity': {'Cpu': 10**18, 'MemMb': 1}},
    'a port out of range': {'Address': '10.0.0.3:99999'},
    'a port of 5000 digits': {'Address': f'10.0.0.3:{"9" * 5000}'},
    'a negative port': {'Address': '10.0.0.3:-1'},
    'a port that is no number': {'Address': '10.0.0.3:x'},
    'a host name': {'Address': 'host:80'},
    'an unclosed bracket': {'Address': '[::'},
    'a zero byte in its address': {'Address': '10.0.0.3\0:80'},
    'an IPv6 address': {'Address': '::1:8080'},
    'an IPv6 address in brackets': {'Address': '[::1]:8080'},
    'a text as slots': {'Slots': 'x'},
    'a number as label': {'Labels': [1]},
}
_MISSING = 'no '
_VALID_ROUTE = {'Name': 'a', 'PathPrefix': '/a/', 'Service': 's'}


@then('a worker entry with {fault} is skipped')
def check_odd_entry(context, fault):
    del context
    valid = json.dumps(_VALID_WORKER).encode()
    assert PlatformEntries().worker('i-1', valid) is not None
    odd = {**_VALID_WORKER, **_ODD_FIELDS.get(fault, {})}
    if fault.startswith(_MISSING):
        odd.pop(fault.removeprefix(_MISSING))
    odd = json.dumps(odd).encode()
    if fault == 'very deep nesting':
        odd = valid.replace(b'{', b'{"X":%s,' % _DEEP, 1)
    assert PlatformEntries().worker('i-1', odd) is None, odd[:200]


@then('a configuration with very deep nesting is skipped')
def check_deep_configuration(context):
    del context
    body = b'{"Version":1,"Routes":[],"X":%s}' % _DEEP
    assert PlatformEntries().configuration(body) is None


@then(
    'a configuration with an invalid route has all other routes and its version'
)
def check_partial_configuration(context):
    del context
    routes = [_VALID_ROUTE, {**_VALID_ROUTE, 'Name': 'b', 'Priority': 1.5}]
    body = {'Version': 7, 'Routes': routes, 'Services': [{'Name': 's'}]}
    found = PlatformEntries().configuration(json.dumps(body).encode())
    assert found.version == 7
    assert [queue.name for queue in found.queues] == ['a']
    assert found.pools == ('s',)
