"""Steps about the report on the logs of a day."""

import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from bench import day, takeovers


@given('the logs of a day')
def write_logs(context):
    context.lines = [
        f'  {row["at"]} {row.get("node", "node-1")} {_entry(row["message"])}'
        for row in context.table
    ]


def _entry(message):
    return msgspec.json.encode({'level': 'INFO', 'message': message}).decode()


@when('a line of another program is added')
def add_foreign_line(context):
    context.lines.insert(1, 'day   own/srv  score {not json}')
    report = _report(context, day.measure)
    context.rows = {row[0]: row[1:] for row in report.rows}


def _report(context, measure):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'day.log')
        path.write_text('\n'.join(context.lines), encoding='utf-8')
        return measure(path)


@then('the report on takeovers has these rows')
def check_takeovers(context):
    rows = _report(context, takeovers.measure).rows
    assert rows == [list(row) for row in context.table], rows


@then(
    'queue "{queue}" has {jobs:d} job that waited {permit:g} s for a permit '
    'and {worker:g} s for a worker'
)
def check_waits(context, queue, jobs, permit, worker):
    context.row = context.rows[queue]
    assert int(context.row[0]) == jobs, context.row
    assert float(context.row[2]) == permit, context.row
    assert float(context.row[3]) == worker, context.row


@then('it worked {work:g} s with {starts:g} starts a task')
def check_work(context, work, starts):
    assert float(context.row[4]) == work, context.row
    assert float(context.row[7]) == starts, context.row


@then('the cause "{cause}" counts {count:d}')
def check_cause(context, cause, count):
    assert int(context.rows[cause][0]) == count, context.rows
