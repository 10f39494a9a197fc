"""Steps about the order in which nodes claim a slice."""

from behave import then

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.claim_order import claim_delays_s
from cyclamentrack.jobs.records import Member
from features.harness.calls import CallCounter

_POOL = PoolName('booking')


def _members(large, small):
    return {
        f'n{number:03}': Member(
            node=f'n{number:03}',
            incarnation='1',
            address='a',
            zone='z',
            cores=2.0 if number < large else 0.5,
            link_mbps=100.0,
        )
        for number in range(large + small)
    }


@then(
    'ordering {more:d} nodes makes {times:d} times the calls of ordering '
    '{few:d} at most'
)
def check_growth(context, more, times, few):
    del context
    counts = []
    for size in (few, more):
        members = _members(size // 10, size - size // 10)
        with CallCounter() as calls:
            claim_delays_s(_POOL, members=members, owners=())
        counts.append(calls.count)
    assert counts[1] <= times * counts[0], counts


@then('of {large:d} large and {small:d} small nodes the large ones claim first')
def check_large_first(context, large, small):
    members = _members(large, small)
    context.owner = min(members)
    context.delays_s = claim_delays_s(
        _POOL, members=members, owners={context.owner}
    )
    ordered = sorted(context.delays_s, key=context.delays_s.get)
    assert list(context.delays_s) == ordered
    assert set(ordered[:large]) == set(sorted(members)[:large])
    context.large = large


@then('an owner claims after the others of its class')
def check_owner_last(context):
    assert list(context.delays_s)[context.large - 1] == context.owner


@then('no two nodes of {count:d} claim at the same time')
def check_distinct(context, count):
    assert len(set(context.delays_s.values())) == count, context.delays_s
