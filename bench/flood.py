"""Measures floods of ten times the fleet's capacity, by urgency.

Real daemons run on a paused clock with in-memory stand-ins. A steady load of
each urgency and of lookups runs with and without the flood. Its goodput is
the number of its tasks that completed within the measured time, relative to
the run without the flood.
"""

from unittest import mock

import msgspec
import trio

from bench.report import Report, percentile
from cyclamentrack import defaults
from cyclamentrack.errors import Ran
from cyclamentrack.fairness import Fairness
from cyclamentrack.ids import TeamName, WorkId
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Urgency, Work
from features.harness.world import World, make_work

_WORKERS = 12
_CORES = _WORKERS * 16
_SECONDS = 20
_TICK_S = 0.25
_AFTER_LOAD_S = 15.0
_OVERLOAD = 10
_FLOOD_RUN_S = 5.0
_FLOOD_TASKS = 20
_STEADY_RUN_S = 0.5
_STEADY_SHARE = 0.08
_GOODPUT_TARGET = 0.95
_URGENT_TARGET_S = 2.2
_LOOKUP_FACTOR = 2
_MS = 1000
_ONE_CORE = Resources(milli_cores=1000, memory_mib=512)
_TINY = Resources(milli_cores=50, memory_mib=32)


class Outcome(msgspec.Struct, kw_only=True):
    """The results of one run; waits and lookups are in seconds."""

    completed: dict[str, int] = msgspec.field(default_factory=dict)
    waits: dict[str, list[float]] = msgspec.field(default_factory=dict)
    lookups: list[float] = msgspec.field(default_factory=list)
    lookups_failed: int = 0
    refused: set[WorkId] = msgspec.field(default_factory=set)
    false_refusals: int = 0
    flood_refused: int = 0


class _Run:
    """One run of the steady load, with a flood of each given urgency."""

    def __init__(self, *, floods: tuple[Urgency, ...]) -> None:
        self._floods = floods
        self._sent: dict[WorkId, float] = {}
        self._tick_count = 0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        world = World(seed=5)
        try:
            world.add_workers(_WORKERS)
            world.start('a', 'b', 'c')
            starts = self._record_starts(world)
            world.loop.run(self._load, world)
            world.loop.sleep(_AFTER_LOAD_S)
            self._evaluate(world, starts)
        finally:
            world.close()
        return self.outcome

    def _record_starts(self, world: World) -> dict[str, float]:
        """Record the first start of each work, by the paused clock."""
        starts: dict[str, float] = {}
        recorder = world.cell.recorder
        original = recorder.started

        def started(worker: str, attempt: str) -> None:
            starts.setdefault(
                attempt.split('#', maxsplit=1)[0], trio.current_time()
            )
            original(worker, attempt)

        recorder.started = started
        return starts

    async def _load(self, world: World) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(int(_SECONDS / _TICK_S)):
                self._tick_count += 1
                nursery.start_soon(self._tick, world, self._tick_count)
                await trio.sleep(_TICK_S)

    async def _tick(self, world: World, tick: int) -> None:
        nodes = list(world.cell.nodes.values())
        node = nodes[tick % len(nodes)]
        works = self._steady(tick)
        for urgency in self._floods:
            works.extend(self._flood(tick, urgency))
        now = trio.current_time()
        self._sent.update({work.id: now for work in works})
        async with trio.open_nursery() as nursery:
            for part in range(4):
                nursery.start_soon(self._look_up, world, tick, part)
            answers = await node.router.submit(
                works, defaults.ACCEPT_DEADLINE_S
            )
        for answer in answers:
            if answer.problem is not None and answer.problem.ran is Ran.NO:
                self.outcome.refused.add(answer.id)

    async def _look_up(self, world: World, tick: int, part: int) -> None:
        nodes = list(world.cell.nodes.values())
        node = nodes[(tick + part) % len(nodes)]
        work = make_work(
            f'look-{tick}-{part}',
            kind=Kind.LOOKUP,
            idempotent=True,
            resources=_TINY,
        )
        started_at = trio.current_time()
        done = await node.router.lookup(work)
        if done.problem is None:
            self.outcome.lookups.append(trio.current_time() - started_at)
        else:
            self.outcome.lookups_failed += 1

    def _steady(self, tick: int) -> list[Work]:
        per_tick = int(_CORES * _STEADY_SHARE / _STEADY_RUN_S * _TICK_S)
        return [
            make_work(
                f'steady_{urgency.value}-{tick}-{part}',
                team=TeamName(f'team-{urgency.value}'),
                urgency=urgency,
                resources=_ONE_CORE,
                run_s=_STEADY_RUN_S,
            )
            for urgency in Urgency
            for part in range(per_tick)
        ]

    def _flood(self, tick: int, urgency: Urgency) -> list[Work]:
        rate = _CORES * _OVERLOAD / _FLOOD_RUN_S
        count = int(rate * _TICK_S / _FLOOD_TASKS)
        return [
            make_work(
                f'flood_{urgency.value}-{tick}-{part}',
                team=TeamName('flooder'),
                urgency=urgency,
                resources=_ONE_CORE,
                idempotent=part % 2 == 0,
                tasks=_FLOOD_TASKS,
                run_s=_FLOOD_RUN_S,
            )
            for part in range(count)
        ]

    def _evaluate(self, world: World, starts: dict[str, float]) -> None:
        recorder = world.cell.recorder
        outcome = self.outcome
        for work, sent in self._sent.items():
            name = work.split('-')[0]
            if work in outcome.refused and recorder.starts_of(work):
                outcome.false_refusals += 1
            if name.startswith('flood'):
                outcome.flood_refused += work in outcome.refused
                continue
            if recorder.completions[f'{work}#0']:
                outcome.completed[name] = outcome.completed.get(name, 0) + 1
            if work in starts:
                outcome.waits.setdefault(name, []).append(starts[work] - sent)
        for waits in outcome.waits.values():
            waits.sort()
        outcome.lookups.sort()


def measure() -> Report:
    """Run without a flood, with each flood, and with both."""
    report = Report(
        name='flood',
        headings=['flood', 'policy', 'load', 'goodput', 'wait p50', 'wait p99'],
    )
    unflooded = _Run(floods=()).run()
    _add_rows(report, 'none', 'floors', unflooded, unflooded)
    for name, floods in (
        ('least urgent', (Urgency.DEFERRABLE,)),
        ('most urgent', (Urgency.URGENT,)),
        ('both', (Urgency.DEFERRABLE, Urgency.URGENT)),
    ):
        flooded = _Run(floods=floods).run()
        _add_rows(report, name, 'floors', flooded, unflooded)
        _add_targets(report, name, flooded, unflooded)
        _add_rows(report, name, 'one queue', _run_fifo(floods), unflooded)
    return report


def _run_fifo(floods: tuple[Urgency, ...]) -> Outcome:
    """Run the baseline: one FIFO queue, without floors."""
    with (
        mock.patch.object(Fairness, 'order', lambda _, lanes: lanes),
        mock.patch.object(Fairness, 'may_place', lambda _, work: bool(work)),
        mock.patch.object(Fairness, 'is_below_share', lambda _, work: not work),
    ):
        return _Run(floods=floods).run()


def _add_rows(
    report: Report,
    flood: str,
    policy: str,
    outcome: Outcome,
    unflooded: Outcome,
) -> None:
    for name, waits in sorted(outcome.waits.items()):
        share = outcome.completed.get(name, 0) / unflooded.completed[name]
        report.add(
            flood,
            policy,
            name,
            f'{share:.0%}',
            f'{percentile(waits, 0.5) * _MS:.0f} ms',
            f'{percentile(waits, 0.99) * _MS:.0f} ms',
        )
    total = len(outcome.lookups) + outcome.lookups_failed
    report.add(
        flood,
        policy,
        'lookups',
        f'{len(outcome.lookups) / total:.0%}',
        f'{percentile(outcome.lookups, 0.5) * _MS:.1f} ms',
        f'{percentile(outcome.lookups, 0.99) * _MS:.1f} ms',
    )
    report.add(
        flood, policy, 'flood refused', outcome.flood_refused, 'works', ''
    )


def _add_targets(
    report: Report, flood: str, flooded: Outcome, unflooded: Outcome
) -> None:
    for name, completed in sorted(unflooded.completed.items()):
        report.at_least(
            f'goodput of {name}, flood {flood}',
            target=_GOODPUT_TARGET,
            measured=flooded.completed.get(name, 0) / completed,
            unit='of that without the flood',
        )
    urgent = flooded.waits.get('steady_urgent', [])
    report.at_most(
        f'wait p99 of urgent work, flood {flood}',
        target=_URGENT_TARGET_S,
        measured=percentile(urgent, 0.99),
        unit='s',
    )
    report.at_most(
        f'p99 of lookups, flood {flood}',
        target=_LOOKUP_FACTOR * percentile(unflooded.lookups, 0.99) * _MS,
        measured=percentile(flooded.lookups, 0.99) * _MS,
        unit='ms',
    )
    report.at_most(
        f'works that ran though refused, flood {flood}',
        target=0,
        measured=flooded.false_refusals,
        unit='works',
    )
