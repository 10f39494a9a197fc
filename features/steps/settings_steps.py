"""Steps about the settings file of a process on the platform."""

import json
import tempfile
from pathlib import Path

import msgspec
from behave import then, when
from returns.result import Failure

from cyclamentrack_platform.settings import load_boot

_SETTINGS = {
    'Node': 'n',
    'Ip': '10.0.0.1',
    'Zone': 'z',
    'Listen': {'Front': '10.0.0.1:1', 'Readiness': '10.0.0.1:2'},
    'PortRange': [7380, 7395],
    'platform': {'Address': '10.0.0.2:1'},
}


@when('settings with {count:d} descriptors are read')
def read_descriptors(context, count):
    _read_settings(context, {**_SETTINGS, 'Limits': {'MaxFds': count}})


@when('settings with {memory:d} MB and {count:d} descriptors are read')
def read_memory(context, memory, count):
    limits = {'MaxFds': count, 'MemoryMb': memory}
    _read_settings(context, {**_SETTINGS, 'Limits': limits})


@then('callers may open {connections:d} connections and send {size:g} MB')
def check_intake(context, connections, size):
    intake = context.answer.unwrap().limits.intake
    assert intake.connections == connections, intake
    assert intake.request_bytes == size * (1 << 20), intake


@then('{count:d} feeds of a table may wait')
def check_feeds(context, count):
    assert context.answer.unwrap().limits.feeds == count, context.answer


@when('settings with {fault} are read')
def read_settings(context, fault):
    body = json.loads(json.dumps(_SETTINGS))
    match fault:
        case 'no address':
            body['platform'] = {}
        case 'a text as port':
            body['PortRange'] = ['a', 7395]
        case 'limits':
            body['Limits'] = {'CpuShare': 0.5, 'Cores': 3, 'LinkMbps': 200.0}
        case 'no file':
            body = None
    _read_settings(context, body)


def _read_settings(context, body):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.json'
        if body is not None:
            path.write_bytes(msgspec.json.encode(body))
        context.answer = load_boot(str(path))


@then('they give {cores:g} cores and a link of {link:g} Mbit/s')
def check_limits(context, cores, link):
    limits = context.answer.unwrap().limits
    assert (limits.cores, limits.link_mbps) == (cores, link), limits


@then('the error names "{key}"')
def check_settings(context, key):
    assert isinstance(context.answer, Failure), context.answer
    message = str(context.answer.failure())
    assert key in message, message
