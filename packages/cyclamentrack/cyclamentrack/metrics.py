"""Counters, gauges and latency histograms in Prometheus text format."""

import contextlib
import time
from collections.abc import Generator

from hdrh.histogram import HdrHistogram

from cyclamentrack.work import Kind

_MAX_VALUE_US = 86_400 * 1_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 99.0, 99.9)
_US_PER_S = 1_000_000


class Metrics:
    """The metrics of one node since it started."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._stages: dict[str, float] = {}
        self._queue_waits = {
            kind: HdrHistogram(1, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)
            for kind in Kind
        }
        self._latencies: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def gauge(self, name: str, amount: float) -> None:
        """Set a gauge."""
        self.gauges[name] = amount

    @contextlib.contextmanager
    def timed(self, stage: str) -> Generator[None]:
        """Add the duration of a ``with`` block to a stage, in seconds."""
        begin = time.perf_counter()
        try:
            yield
        finally:
            spent = time.perf_counter() - begin
            self._stages[stage] = self._stages.get(stage, 0) + spent

    def observe(self, name: str, seconds: float) -> None:
        """Record one latency of the named request."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)
            self._latencies[name] = histogram
        histogram.record_value(max(int(seconds * _US_PER_S), 1))

    def wait(self, kind: Kind, seconds: float) -> None:
        """Record how long work waited before it was placed."""
        micros = max(int(seconds * _US_PER_S), 1)
        self._queue_waits[kind].record_value(micros)

    def wait_s(self, kind: Kind, percentile: float) -> float:
        """Return a percentile of the waits of a kind of work, in seconds."""
        micros = self._queue_waits[kind].get_value_at_percentile(percentile)
        return float(micros) / _US_PER_S

    def exposition(self) -> str:
        """Return all metrics as text, one sample per line."""
        lines = [
            f'cyclamentrack_{name}_total {amount}'
            for name, amount in sorted(self.counters.items())
        ]
        lines.extend(
            f'cyclamentrack_{name} {amount}'
            for name, amount in sorted(self.gauges.items())
        )
        lines.extend(
            f'cyclamentrack_stage_seconds_total{{stage="{stage}"}} {spent}'
            for stage, spent in sorted(self._stages.items())
        )
        for kind in Kind:
            lines.extend(self._wait_lines(kind))
        for name in sorted(self._latencies):
            lines.extend(self._latency_lines(name))
        return ''.join(f'{line}\n' for line in lines)

    def _wait_lines(self, kind: Kind) -> list[str]:
        name = 'cyclamentrack_wait_seconds'
        label = f'kind="{kind.value}"'
        lines = [
            f'{name}{{{label},quantile="{percentile / 100}"}} '
            f'{self.wait_s(kind, percentile)}'
            for percentile in _PERCENTILES
        ]
        total = self._queue_waits[kind].get_total_count()
        return [*lines, f'{name}_count{{{label}}} {total}']

    def _latency_lines(self, name: str) -> list[str]:
        histogram = self._latencies[name]
        label = f'request="{name}"'
        lines = [
            f'cyclamentrack_latency_seconds{{{label},'
            f'quantile="{percentile / 100}"}} '
            f'{histogram.get_value_at_percentile(percentile) / _US_PER_S}'
            for percentile in _PERCENTILES
        ]
        total = histogram.get_total_count()
        return [
            *lines,
            f'cyclamentrack_latency_seconds_count{{{label}}} {total}',
        ]
