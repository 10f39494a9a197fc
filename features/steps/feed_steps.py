"""Steps about the age of the feeds that a node follows."""

import logging

from behave import given, then

from cyclamentrack.metrics import Metrics
from cyclamentrack_platform.front import HttpFrontend
from features.harness.asgi import call_app

_SAMPLE = 'cyclamentrack_configuration_feed_age_seconds '


class _LineCollector(logging.Handler):
    """Appends the message of each record to a list."""

    def __init__(self, lines):
        super().__init__()
        self._lines = lines

    def emit(self, record):
        self._lines.append(record.getMessage())


@given('the log is collected')
def collect_log(context):
    context.log_lines = []
    logger = logging.getLogger('cyclamentrack')
    adapter = logging.getLogger('cyclamentrack_platform')
    handler = _LineCollector(context.log_lines)
    for one in (logger, adapter):
        one.addHandler(handler)
        context.add_cleanup(one.removeHandler, handler)
        context.add_cleanup(one.setLevel, one.level)
        context.add_cleanup(setattr, one, 'propagate', one.propagate)
        one.setLevel(logging.INFO)
        one.propagate = False
    context.add_cleanup(logging.disable, logging.root.manager.disable)
    logging.disable(logging.NOTSET)


def _ages_s(world):
    ages = []
    for name, cell in world.cells.items():
        frontend = HttpFrontend(
            cell=cell, service=world.services[name], metrics=Metrics()
        )
        reply = world.loop.run(call_app, frontend.readiness, 'GET', '/metrics')
        ages.extend(
            float(line.removeprefix(_SAMPLE))
            for line in reply.body.decode().splitlines()
            if line.startswith(_SAMPLE)
        )
    assert len(ages) == len(world.cells), ages
    return ages


@then('the configuration feed of every node is at least {least:g} seconds old')
def check_old(context, least):
    ages = _ages_s(context.jobs)
    assert min(ages) >= least, ages


@then('the configuration feed of every node is at most {most:g} seconds old')
def check_young(context, most):
    ages = _ages_s(context.jobs)
    assert max(ages) <= most, ages


@then('every node logs "{text}" once')
def check_logged_once(context, text):
    found = [line for line in context.log_lines if text in line]
    assert len(found) == len(context.jobs.cells), context.log_lines


@then('the log has "{text}"')
def check_logged(context, text):
    assert any(text in line for line in context.log_lines), context.log_lines
