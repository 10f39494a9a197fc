"""Steps about the connections that a process keeps and closes."""

from behave import given, then, when

from cyclamentrack_daemon.intake import Intake, IntakeLimits

_SWEEPS_A_SECOND = 2


class _Connection:
    def __init__(self):
        self.has_request = False
        self.request_is_incomplete = True
        self.entry = None
        self.reason = None

    def close(self, reason):
        self.reason = reason


@given('an intake of {connections:d} connections and {size:d} bytes')
def make_intake(context, connections, size):
    limits = IntakeLimits(connections=connections, request_bytes=size)
    context.intake = Intake(limits=limits)
    context.connections = {}


@when('connections "{names}" are opened')
def open_connections(context, names):
    for name in names.split():
        connection = _Connection()
        connection.entry = context.intake.admit(connection)
        context.connections[name] = connection


@when('"{name}" has sent {size:d} bytes')
def send_bytes(context, name, size):
    context.intake.received(context.connections[name].entry, size)


@when('the request of "{names}" is complete')
@when('the requests of "{names}" are complete')
def complete_requests(context, names):
    for name in names.split():
        connection = context.connections[name]
        connection.has_request = True
        connection.request_is_incomplete = False


@when('the request of "{name}" is answered')
def answer_request(context, name):
    connection = context.connections[name]
    connection.has_request = False
    connection.request_is_incomplete = True
    context.intake.answered(connection.entry, 0)


@when('the request of "{name}" is answered, and the next has come along')
def answer_pipelined(context, name):
    context.intake.answered(context.connections[name].entry, 100)


@when('the response of "{name}" can\'t be sent')
def block_response(context, name):
    entry = context.connections[name].entry
    entry.sending_since = context.intake.now_s


@when('the intake sweeps for {seconds:d} seconds')
def let_time_pass(context, seconds):
    for _ in range(seconds * _SWEEPS_A_SECOND):
        context.intake.sweep(1 / _SWEEPS_A_SECOND)


@when('the process is suspended for {seconds:d} seconds')
def suspend(context, seconds):
    context.intake.sweep(float(seconds))


@when('the listener ends')
def end_listener(context):
    context.intake.close_idle()


@then('"{name}" was closed for "{reason}" and no other')
def check_closed(context, name, reason):
    assert _closed(context) == {name: reason}, _closed(context)
    assert context.intake.closed.total() == 1, context.intake.closed


@then('no connection was closed')
def check_none_closed(context):
    assert not _closed(context), _closed(context)


@then('of "{names}" only "{name}" was closed')
def check_closed_of(context, names, name):
    found = [one for one in names.split() if context.connections[one].reason]
    assert found == [name], found


@then('of "{names}" none was closed')
def check_none_closed_of(context, names):
    found = [one for one in names.split() if context.connections[one].reason]
    assert not found, found


@then('"{name}" was accepted')
def check_accepted(context, name):
    assert context.connections[name].entry is not None


@then('"{name}" was refused')
def check_refused(context, name):
    assert context.connections[name].entry is None
    assert not _closed(context), _closed(context)


def _closed(context):
    return {
        name: connection.reason.value
        for name, connection in context.connections.items()
        if connection.reason is not None
    }
