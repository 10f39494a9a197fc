"""The report of a measurement, printed as a table or as JSON."""

import sys

import msgspec


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target and the measured value."""

    name: str
    target: float
    measured: float
    unit: str
    met: bool


class Report(msgspec.Struct, kw_only=True):
    """The rows and targets of one measurement."""

    name: str
    headings: list[str]
    rows: list[list[str]] = msgspec.field(default_factory=list)
    targets: list[Target] = msgspec.field(default_factory=list)
    slopes: dict[str, float] = msgspec.field(default_factory=dict)

    def add(self, *cells: object) -> None:
        """Add a row."""
        self.rows.append([_cell(cell) for cell in cells])

    def at_most(
        self, name: str, *, target: float, measured: float, unit: str
    ) -> None:
        """Add a target that the measured value must not exceed."""
        self._target(name, target, measured, unit, met=measured <= target)

    def at_least(
        self, name: str, *, target: float, measured: float, unit: str
    ) -> None:
        """Add a target that the measured value must reach."""
        self._target(name, target, measured, unit, met=measured >= target)

    def print(self, *, as_json: bool) -> int:
        """Print the report; return exit status 1 if a target isn't met."""
        if as_json:
            sys.stdout.write(f'{msgspec.json.encode(self).decode()}\n')
        else:
            self._print_table()
        return 0 if all(target.met for target in self.targets) else 1

    def _target(
        self, name: str, target: float, measured: float, unit: str, *, met: bool
    ) -> None:
        self.targets.append(
            Target(
                name=name,
                target=target,
                measured=round(measured, 4),
                unit=unit,
                met=met,
            )
        )

    def _print_table(self) -> None:
        lines = [self.headings, *self.rows]
        widths = [
            max(len(line[index]) for line in lines)
            for index in range(len(self.headings))
        ]
        for line in lines:
            cells = zip(line, widths, strict=True)
            text = '  '.join(cell.rjust(width) for cell, width in cells)
            sys.stdout.write(f'{text}\n')
        for target in self.targets:
            verdict = 'met' if target.met else 'NOT MET'
            sys.stdout.write(
                f'{verdict}: {target.name}: {target.measured:g} '
                f'{target.unit} (target {target.target:g})\n'
            )


def percentile(ordered: list[float], share: float) -> float:
    """Return a percentile of values in ascending order; 0 for none."""
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _cell(cell: object) -> str:
    return f'{cell:.3g}' if isinstance(cell, float) else str(cell)
