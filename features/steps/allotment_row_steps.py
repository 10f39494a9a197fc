"""Steps about the store's rows of allotments and the calls for them."""

from behave import then, when

from cyclamentrack.jobs.records import ALLOTMENTS


def _world(context):
    return context.jobs


def _lose_allotment_write(context, *, late):
    """Lose the reply to the next write, which is maybe applied late."""
    rows = _world(context).rows

    def lose(batch):
        if batch.puts and batch.puts[0][0].table == ALLOTMENTS:
            rows.on_commit = None
            rows.delayed_writes += late
            rows.lost_replies += not late

    rows.on_commit = lose


@when('the reply to the next write of an allotment is lost')
def lose_reply(context):
    _lose_allotment_write(context, late=False)


@when(
    'the reply to the next write of an allotment is lost and it is applied late'
)
def lose_reply_of_late(context):
    _lose_allotment_write(context, late=True)


@then('there was no call to the store for allotments')
def check_no_calls(context):
    assert not _world(context).rows.calls[ALLOTMENTS]


@then('no allotment was written since the cap came into force')
def check_no_writes(context):
    rows = _world(context).rows.rows.values()
    versions = [one.version for one in rows if one.key.table == ALLOTMENTS]
    assert versions
    assert max(versions) <= context.version_before


@then(
    'at most {count:d} calls were made for allotments '
    'since the owners were killed'
)
def check_calls(context, count):
    found = _world(context).rows.calls[ALLOTMENTS] - context.calls_before
    assert found <= count, found
