"""Steps about signals to real processes."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, step, then, when

from features.harness.wire import WireServer

_GAP_S = 0.01
# A process loads this module before its own; it stops at the first import of
# a library until it gets a line.
_GATE = """
import sys

class Gate:
    def find_spec(self, name, path=None, target=None):
        if name == 'trio':
            sys.meta_path.remove(self)
            print('loading', flush=True)
            sys.stdin.readline()

sys.meta_path.insert(0, Gate())
"""
_DAEMON = 'from cyclamentrack_daemon.main import main; main()'


@given('{program} that waits while it loads its libraries')
def begin_gated(context, program):
    _begin(context, program)
    _read_until(context, 'loading')


@given('{program} that has called its platform')
def begin_started(context, program):
    begin_gated(context, program)
    go_on(context)
    check_called(context)


@when('it gets {name} {count:d} times')
def send(context, name, count):
    for _ in range(count):
        context.process.send_signal(signal.Signals[name])
        time.sleep(_GAP_S)


@when('it gets {name} until it exits')
def send_until_exit(context, name):
    while context.process.poll() is None:
        context.process.send_signal(signal.Signals[name])
        time.sleep(_GAP_S)


@when('it goes on loading')
def go_on(context):
    with contextlib.suppress(BrokenPipeError):
        context.process.stdin.write('\n')
        context.process.stdin.flush()


@then('it calls its platform')
def check_called(context):
    while not context.wire.calls:
        assert context.process.poll() is None, _outcome(context)
        time.sleep(_GAP_S)


@step('it logs "{text}"')
def check_logged(context, text):
    _read_until(context, text)


@then('its exit status is {status:d}')
def check_status(context, status):
    context.lines += context.process.stdout.readlines()
    assert context.process.wait() == status, _outcome(context)


@then('it has logged "{text}"')
def check_has_logged(context, text):
    assert any(text in line for line in context.lines), _outcome(context)


@then('it has called nobody')
def check_calls(context):
    assert context.wire.calls == [], context.wire.calls


def _begin(context, program):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers['/v1/table/commit'] = (503, {})
    context.wire = wire
    context.lines = []
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    home = Path(folder.name)
    (home / 'sitecustomize.py').write_text(_GATE)
    context.process = subprocess.Popen(
        [sys.executable, *_PROGRAMS[program](home, wire.address)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={
            **os.environ,
            'PYTHONPATH': os.pathsep.join([folder.name, *sys.path]),
            'CYCLAMENTRACK_BOOT': str(home / 'local.json'),
        },
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


def _prepare_node(home, store):
    settings = {
        'Node': 'n',
        'Ip': '127.0.0.1',
        'Zone': 'z',
        'Listen': {'Front': _free_address(), 'Readiness': _free_address()},
        'PortRange': [int(_free_address().split(':')[1])] * 2,
        'platform': {'Address': store},
    }
    (home / 'local.json').write_text(json.dumps(settings))
    return ['-m', 'cyclamentrack_platform']


def _prepare_daemon(home, platform):
    settings = home / 'daemon.toml'
    settings.write_text(
        'instance = { name = "d", zone = "z" }\n'
        f'platform = {{ address = "{platform}" }}\n'
        '[listen]\n'
        f'callers = "{_free_address()}"\n'
        f'operators = "{_free_address()}"\n'
        f'peers = "{_free_address()}"\n',
    )
    return ['-c', _DAEMON, '--config', str(settings)]


_PROGRAMS = {'a node': _prepare_node, 'the daemon': _prepare_daemon}


def _free_address():
    with socket.create_server(('127.0.0.1', 0)) as server:
        return f'127.0.0.1:{server.getsockname()[1]}'


def _read_until(context, text):
    for line in context.process.stdout:
        context.lines.append(line)
        if text in line:
            return
    context.process.wait()
    raise AssertionError(_outcome(context))


def _outcome(context):
    return context.process.returncode, context.lines[-10:]
