"""Steps about the report on the logs of a day."""

import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from bench.day import measure


@given('the logs of a day')
def write_logs(context):
    context.lines = [
        f'  {row["at"]} node-1 {msgspec.json.encode(_entry(row)).decode()}'
        for row in context.table
    ]


def _entry(row):
    return {'level': 'INFO', 'message': row['message']}


@when('a line of another program is added')
def add_foreign_line(context):
    context.lines.insert(1, 'day   own/srv  score {not json}')
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'day.log')
        path.write_text(chr(10).join(context.lines), encoding='utf-8')
        report = measure(path)
    context.rows = {row[0]: row[1:] for row in report.rows}


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
