"""Steps about the connections that feeds and scans of the store take."""

from urllib.parse import parse_qs, urlsplit

import trio
import trio.testing
from behave import given, then, when

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.ports import Batch, Committed, RowKey
from cyclamentrack_platform.store import PlatformRows
from features.harness.wire import WireServer

_FEED = '/-/rows-feed'
_PATHS = {'feeds': _FEED, 'scans': '/-/rows-get'}
_LONG_WAIT_S = 30.0
_KEY = RowKey('t', '', 'k')


@given('a store that never answers {kind}')
def begin_store(context, kind):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers = {_PATHS[kind]: 'silent', '/-/rows-tx': (200, {'Ver': 3})}
    context.wire = wire
    context.tables = []
    context.scans = 0
    context.ended = 0
    context.ended_before_write = 0


@when('{count:d} scans have begun')
def begin_scans(context, count):
    context.scans = count


@when('{count:d} feeds of "{table}" wait')
def begin_feeds(context, count, table):
    context.tables += [table] * count


@when('a feed of "{table}" is followed')
def begin_feed(context, table):
    context.tables.append(table)


@then('a write is answered')
def check_write(context):
    async def write(rows):
        batch = Batch(puts=((_KEY, b'x'),))
        assert await rows.commit(batch) == Committed(version=3)
        context.ended_before_write = context.ended

    trio.run(_play, context, write)


@then('no scan has ended before it')
def check_scans(context):
    assert context.ended_before_write == 0, context.ended_before_write


@then('the feed of "{table}" has reached the store')
def check_reached(context, table):
    async def check(rows):
        del rows
        tables = [query['Table'][0] for query in _queries(context.wire)]
        assert table in tables, tables

    trio.run(_play, context, check)


async def _play(context, check):
    """Run the check once the feeds that may wait have reached the store."""
    rows = PlatformRows(address=context.wire.address)
    async with trio.open_nursery() as nursery:
        for table in context.tables:
            nursery.start_soon(_follow, rows, table, _LONG_WAIT_S)
        for _ in range(context.scans):
            nursery.start_soon(_scan, context, rows)
        await trio.testing.wait_all_tasks_blocked(cushion=0.2)
        await check(rows)
        nursery.cancel_scope.cancel()


@when('{count:d} feeds of "{table}" with a wait of {wait:g} s have ended')
def end_feeds(context, count, table, wait):
    async def play():
        rows = PlatformRows(address=context.wire.address)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_follow, rows, table, wait)

    trio.run(play)


@then('all {count:d} have reached the store')
def check_all(context, count):
    assert len(context.wire.calls) == count, len(context.wire.calls)


@then('the first {count:d} have waited for {wait:d} ms')
def check_shares(context, count, wait):
    waits = [int(query['WaitMs'][0]) for query in _queries(context.wire)]
    assert waits[:count] == [wait] * count, waits


async def _follow(rows, table, wait_s):
    try:
        await rows.follow(table=table, after=1, wait_s=wait_s)
    except StoreUncertainError:
        return


async def _scan(context, rows):
    try:
        await rows.scan(table='t', part='')
    except StoreUncertainError:
        context.ended += 1


def _queries(wire):
    targets = [urlsplit(target) for target, _, _ in wire.calls]
    return [parse_qs(one.query) for one in targets if one.path == _FEED]
