"""Checks each model with all guards, and its variants without one guard.

Every variant must be refuted, which shows that its guard is needed.
"""

from functools import partial

import msgspec
from minicheck import Protocol, check_safety

from spec import allotments, jobcell, leases
from spec.model import Guard, Rules, State, violations

_MAX_STATES = 2_000_000
_MAX_VARIANT_STATES = 20_000
_HOLDS = 'holds'
_PROMISES = ('two places', 'run twice', 'told not run')


class SpecVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one check.

    A variant without a guard passes when a promise is refuted.
    """

    name: str
    passed: bool
    summary: str


def build_protocol(rules: Rules) -> Protocol:
    """Return the model of one task in the form that the checker expects."""

    def keeps_promise(promise: str, found: dict[str, object]) -> bool:
        state = State(**found)
        return promise not in violations(state, idempotent=rules.idempotent)

    return Protocol(
        name='one task',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=rules.transitions,
        invariants={
            promise: partial(keeps_promise, promise) for promise in _PROMISES
        },
    )


def check_all() -> list[SpecVerdict]:
    """Check all models with all guards, and one variant per guard."""
    verdicts = [
        _check_with_all_guards(Rules(idempotent=idempotent))
        for idempotent in (False, True)
    ]
    verdicts.extend(_check_variant(guard) for guard in Guard)
    verdicts.append(_check_job_cell(without=None))
    verdicts.extend(_check_job_cell(without=guard) for guard in jobcell.Guard)
    verdicts.append(_check_leases(without=None))
    verdicts.extend(_check_leases(without=guard) for guard in leases.Guard)
    verdicts.append(_check_allotments(without=None))
    verdicts.extend(
        _check_allotments(without=guard) for guard in allotments.Guard
    )
    return verdicts


def _check_with_all_guards(rules: Rules) -> SpecVerdict:
    kind = 'idempotent' if rules.idempotent else 'non-idempotent'
    outcome = check_safety(build_protocol(rules), max_states=_MAX_STATES)
    properties = outcome['properties']
    holds = all(properties[name]['holds'] is True for name in _PROMISES)
    broken = [name for name in _PROMISES if not properties[name]['holds']]
    detail = 'all hold' if holds else f'not shown: {broken}'
    return SpecVerdict(
        name=f'{kind} task',
        passed=holds,
        summary=(
            f'spec {kind} task: {detail}, '
            f'{outcome["reachable_states"]} states explored, '
            f'depth {depth(rules)}'
        ),
    )


def _check_variant(guard: Guard) -> SpecVerdict:
    """Refute a variant, and report its shortest counterexample.

    Both kinds of task are tried.
    """
    traces: list[list[object]] = []
    states = 0
    for idempotent in (False, True):
        rules = Rules(idempotent=idempotent, without=frozenset((guard,)))
        outcome = check_safety(build_protocol(rules), max_states=_MAX_STATES)
        states += outcome['reachable_states']
        found = [outcome['properties'][name] for name in _PROMISES]
        traces.extend(
            one['counterexample'] for one in found if one['holds'] is False
        )
    shortest = min((len(trace) - 1 for trace in traces), default=0)
    refuted = 'refuted' if traces else 'NOT REFUTED'
    return SpecVerdict(
        name=f'without: {guard.value}',
        passed=bool(traces),
        summary=(
            f'spec without "{guard.value}": {refuted} in {shortest} moves, '
            f'{states} states explored'
        ),
    )


def _check_job_cell(*, without: jobcell.Guard | None) -> SpecVerdict:
    """Check the job cell's model, or refute its variant without a guard.

    The search of a variant is limited to fewer states, since one
    counterexample is enough.
    """
    guards = frozenset(() if without is None else (without,))
    rules = jobcell.Rules(without=guards)

    def keeps_promise(promise: str, found: dict[str, object]) -> bool:
        return promise not in jobcell.violations(jobcell.State(**found))

    protocol = Protocol(
        name='one task of a slice',
        candidate=False,
        fields=jobcell.State._fields,
        initial=jobcell.State(),
        transitions=rules.transitions,
        invariants={
            promise: partial(keeps_promise, promise)
            for promise in jobcell.PROMISES
        },
    )
    limit = _MAX_STATES if without is None else _MAX_VARIANT_STATES
    outcome = check_safety(protocol, max_states=limit)
    found = [outcome['properties'][name] for name in jobcell.PROMISES]
    states = outcome['reachable_states']
    if without is None:
        holds = all(one['holds'] is True for one in found)
        detail = 'all hold' if holds else 'not shown'
        return SpecVerdict(
            name='job cell',
            passed=holds,
            summary=f'spec job cell: {detail}, {states} states explored',
        )
    refuted = any(one['holds'] is False for one in found)
    detail = 'refuted' if refuted else 'NOT REFUTED'
    return SpecVerdict(
        name=f'job cell without: {without.value}',
        passed=refuted,
        summary=f'spec job cell without "{without.value}": {detail}, '
        f'{states} states explored',
    )


def _check_leases(*, without: leases.Guard | None) -> SpecVerdict:
    """Check the model of leases, or refute its variant without a guard.

    The search ends at the first counterexample.
    """
    rules = leases.Rules(
        without=frozenset(() if without is None else (without,))
    )
    refuted: list[leases.State] = []

    def transitions(state: leases.State) -> list[tuple[str, leases.State]]:
        return [] if refuted else rules.transitions(state)

    def keeps_promise(found: dict[str, object]) -> bool:
        state = leases.State(**found)
        if rules.breaks_promise(state):
            refuted.append(state)
        return not refuted

    protocol = Protocol(
        name='leases of a slice',
        candidate=False,
        fields=leases.State._fields,
        initial=leases.State(),
        transitions=transitions,
        invariants={leases.PROMISE: keeps_promise},
    )
    outcome = check_safety(protocol, max_states=_MAX_STATES)
    found = outcome['properties'][leases.PROMISE]
    states = outcome['reachable_states']
    if without is None:
        holds = found['holds'] is True
        detail = 'holds' if holds else 'not shown'
        return SpecVerdict(
            name='leases',
            passed=holds,
            summary=f'spec leases: {detail}, {states} states explored',
        )
    trace = found['counterexample']
    detail = f'refuted in {len(trace) - 1} moves' if trace else 'NOT REFUTED'
    return SpecVerdict(
        name=f'leases without: {without.value}',
        passed=bool(trace),
        summary=f'spec leases without "{without.value}": {detail}, '
        f'{states} states explored',
    )


def _check_allotments(*, without: allotments.Guard | None) -> SpecVerdict:
    """Check the model of allotments, or refute its variant without a guard.

    The search ends at the first counterexample.
    """
    rules = allotments.Rules(
        without=frozenset(() if without is None else (without,))
    )
    refuted: list[allotments.State] = []

    def transitions(
        state: allotments.State,
    ) -> list[tuple[str, allotments.State]]:
        return [] if refuted else rules.transitions(state)

    def keeps_promise(found: dict[str, object]) -> bool:
        state = allotments.State(**found)
        if state.exceeded:
            refuted.append(state)
        return not refuted

    protocol = Protocol(
        name='the cap of an account',
        candidate=False,
        fields=allotments.State._fields,
        initial=allotments.State(),
        transitions=transitions,
        invariants={allotments.PROMISE: keeps_promise},
    )
    outcome = check_safety(protocol, max_states=_MAX_STATES)
    found = outcome['properties'][allotments.PROMISE]
    states = outcome['reachable_states']
    if without is None:
        holds = found[_HOLDS] is True
        detail = _HOLDS if holds else 'not shown'
        return SpecVerdict(
            name='allotments',
            passed=holds,
            summary=f'spec allotments: {detail}, {states} states explored',
        )
    trace = found['counterexample']
    detail = f'refuted in {len(trace) - 1} moves' if trace else 'NOT REFUTED'
    return SpecVerdict(
        name=f'allotments without: {without.value}',
        passed=bool(trace),
        summary=f'spec allotments without "{without.value}": {detail}, '
        f'{states} states explored',
    )


def depth(rules: Rules) -> int:
    """Return the length of the longest shortest path to a state."""
    level = {State()}
    seen = set(level)
    deepest = -1
    while level:
        deepest += 1
        level = {
            following
            for state in level
            for _, following in rules.transitions(state)
            if following not in seen
        }
        seen |= level
    return deepest
