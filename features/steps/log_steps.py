"""Steps about the bounds of the logs."""

import io
import logging

from behave import given, then, when

from cyclamentrack_daemon.logs import BoundedHandler


class _Pipe(io.StringIO):
    """A stream that accepts no data while it is full, like a pipe."""

    full = False

    def write(self, text):
        if self.full:
            raise BlockingIOError
        return super().write(text)


def _begin(context, lines):
    context.stream = _Pipe()
    context.now = 1.0
    context.handler = BoundedHandler(
        context.stream, clock=lambda: context.now, lines_per_second=lines
    )


def _log(context, level, text):
    record = logging.LogRecord('x', level, 'x.py', 1, text, (), None)
    context.handler.emit(record)


@given('a log of {lines:d} lines a second')
def begin_log(context, lines):
    _begin(context, lines)


@given('a log whose reader has stopped reading')
def begin_full(context):
    _begin(context, 100)
    context.stream.full = True


@when('{lines:d} lines and {warnings:d} warnings are logged within a second')
def log_flood(context, lines, warnings):
    for _ in range(lines):
        _log(context, logging.INFO, 'line')
    for _ in range(warnings):
        _log(context, logging.WARNING, 'warning')


@when('a line is logged')
def log_line(context):
    _log(context, logging.INFO, 'line')


@when('a line is logged a second later')
def log_later(context):
    context.now += 1.0
    log_line(context)


@when('a line is logged a second later, and the reader reads again')
def log_read(context):
    context.stream.full = False
    log_later(context)


@then('{lines:d} lines and {warnings:d} warnings were written')
def check_written(context, lines, warnings):
    written = context.stream.getvalue().split()
    assert written.count('line') == lines, written.count('line')
    assert written.count('warning') == warnings


@then('the log says that {count:d} lines were dropped')
def check_dropped(context, count):
    assert f'dropped count={count}' in context.stream.getvalue()
