"""Slows down the starts of a step that workers refuse.

A refusal may last: a worker may know of runs, or ask for permits, that the
owner doesn't know of. The next start goes to another worker after a pause. The
pauses double while no start of the step succeeds.
"""

import msgspec

from cyclamentrack.ids import WorkerId

# A job with nothing running counts as lost after 3 s, so that each worker that
# has stopped refusing is tried before that.
_LONGEST_STEP_PAUSE_S = 1.0
_LONGEST_WORKER_PAUSE_S = 2.0
_FIRST_STEP_PAUSE_S = 0.1
_FIRST_WORKER_PAUSE_S = 0.2


class _Pause(msgspec.Struct, kw_only=True, eq=False):
    first_s: float
    longest_s: float
    length_s: float = 0.0
    until: float = 0.0

    def extend(self, now: float) -> None:
        """Begin a pause of twice the last one's length, unless one is on.

        Starts that were sent together count as one.
        """
        if now < self.until:
            return
        doubled = max(2 * self.length_s, self.first_s)
        self.length_s = min(doubled, self.longest_s)
        self.until = now + self.length_s


def _step_pause() -> _Pause:
    return _Pause(first_s=_FIRST_STEP_PAUSE_S, longest_s=_LONGEST_STEP_PAUSE_S)


class StartBackoff(msgspec.Struct, kw_only=True, eq=False):
    """Pauses in the starts of one step, over all workers and on each."""

    _step: _Pause = msgspec.field(default_factory=_step_pause)
    _workers: dict[tuple[WorkerId, int], _Pause] = msgspec.field(
        default_factory=dict
    )

    @property
    def last_refused(self) -> bool:
        """Whether no start has succeeded since the last refusal."""
        return self._step.length_s > 0

    def pauses(self, worker: WorkerId, *, incarnation: int, now: float) -> bool:
        """Return whether no start may be sent to a worker now."""
        if now < self._step.until:
            return True
        paused = self._workers.get((worker, incarnation))
        return paused is not None and now < paused.until

    def note_refused(
        self, worker: WorkerId, *, incarnation: int, now: float
    ) -> None:
        """Pause the step's starts, and longer those on the worker."""
        self._step.extend(now)
        paused = self._workers.setdefault(
            (worker, incarnation),
            _Pause(
                first_s=_FIRST_WORKER_PAUSE_S, longest_s=_LONGEST_WORKER_PAUSE_S
            ),
        )
        paused.extend(now)

    def note_started(self, worker: WorkerId, *, incarnation: int) -> None:
        """End the step's pause and the worker's."""
        self._step = _step_pause()
        self._workers.pop((worker, incarnation), None)
