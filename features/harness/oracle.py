"""Oracle that compares the answers to callers with what really ran."""

import msgspec

from cyclamentrack.errors import Ran
from cyclamentrack.ids import WorkId
from cyclamentrack.work import Answer, Kind, Stage, Work
from cyclamentrack_standins.recorder import Recorder


class Promise(msgspec.Struct, kw_only=True):
    """A work and what the answers to its caller promised."""

    work: Work
    accepted: bool = False
    refused_as_not_run: bool = False
    cancelled: bool = False


class Oracle:
    """Checks the counts of the recorder against the answers to callers."""

    def __init__(self, *, recorder: Recorder) -> None:
        """Start without works."""
        self._recorder = recorder
        self.promises: dict[WorkId, Promise] = {}

    def expect(self, work: Work) -> None:
        """Add a work that a caller is about to submit."""
        self.promises.setdefault(work.id, Promise(work=work))

    def told(self, answer: Answer) -> None:
        """Record the answer that a caller got, and check it."""
        promise = self.promises[answer.id]
        if answer.view is not None:
            promise.accepted = True
            promise.refused_as_not_run = False
            self._check_view(promise, answer)
            return
        ran = answer.problem.ran if answer.problem else Ran.UNKNOWN
        if ran is Ran.NO and not promise.accepted:
            promise.refused_as_not_run = True

    def check_always(self) -> None:
        """Check the invariants, which must hold at every moment."""
        recorder = self._recorder
        assert recorder.overcommits == 0, (
            'starts exceeded the capacity of a worker'
        )
        assert not recorder.doubled, (
            f'tasks ran twice at once: {recorder.doubled}'
        )
        for promise in self.promises.values():
            self._check_starts(promise)

    def check_end(self, promise: Promise, answer: Answer) -> None:
        """Check the final state of a work, some time after all faults ended."""
        work = promise.work
        if answer.view is None:
            assert not promise.accepted, f'{work.id} is unknown: {answer}'
            return
        stage = answer.view.stage
        assert stage is not Stage.QUEUED, f'{work.id} is still queued'
        if work.kind is not Kind.SERVICE:
            assert stage is not Stage.RUNNING, f'{work.id} still runs'
        self._check_stage(promise, answer)

    def _check_starts(self, promise: Promise) -> None:
        work = promise.work
        for task in range(work.tasks):
            starts = self._recorder.starts[f'{work.id}#{task}']
            if promise.refused_as_not_run:
                assert starts == 0, f'{work.id} ran though refused'
            if not work.idempotent and work.kind is not Kind.SERVICE:
                assert starts <= 1, f'{work.id} started {starts} times'

    def _check_view(self, promise: Promise, answer: Answer) -> None:
        view = answer.view
        starts = self._recorder.starts_of(answer.id)
        if view.ran is Ran.NO and view.stage is Stage.CANCELLED:
            assert starts == 0, (
                f'{answer.id} ran though it was reported as not run'
            )
            promise.refused_as_not_run = True
        assert view.tasks == promise.work.tasks

    def _check_stage(self, promise: Promise, answer: Answer) -> None:
        work = promise.work
        stage = answer.view.stage
        completions = [
            self._recorder.completions[f'{work.id}#{task}']
            for task in range(work.tasks)
        ]
        if stage is Stage.SUCCEEDED:
            assert all(completions), f'{work.id}: {completions}'
            expected = [
                f'done {work.id}#{index}#' for index in range(work.tasks)
            ]
            pairs = zip(answer.view.answers, expected, strict=True)
            assert all(got.startswith(want) for got, want in pairs), answer
        if stage is Stage.CANCELLED:
            assert promise.cancelled, f'{work.id}: nobody cancelled it'
        if stage is Stage.UNKNOWN:
            assert not work.idempotent, f'{work.id} is idempotent'
        if stage is Stage.FAILED:
            self._check_failed(work, answer)

    def _check_failed(self, work: Work, answer: Answer) -> None:
        """Check that a failed work is a gang that is not idempotent.

        Tasks don't end with an error here, and without one only such a gang
        can fail: if one of its tasks could not start, the others can't be
        run again.
        """
        may_fail = work.kind is Kind.GANG and not work.idempotent
        assert may_fail, f'{work.id} failed: {answer}'
        assert self._recorder.starts_of(work.id), answer
