"""Run all tests: ``python -m features [PATH ...]``.

The last line counts the passed and failed checks. Failures that
``KNOWN-RED.txt`` lists are printed, but aren't counted and don't fail the run.
"""

import logging
import sys
from pathlib import Path

from features.runner import Tally, run_machine, run_scenarios, run_specs

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_failures() -> set[str]:
    """Return the names of the checks that are known to fail."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    }


def main(paths: list[str]) -> int:
    """Run the scenarios under some paths and return the exit status.

    Without paths, run the model checks, the fuzzing and all scenarios.
    """
    logging.disable(logging.CRITICAL)
    tally = Tally()
    if not paths:
        run_specs(tally)
        run_machine(tally)
    run_scenarios(tally, paths)
    allowed = read_known_failures()
    for name in tally.failed:
        note = 'known, see KNOWN-RED.txt' if name in allowed else 'FAILED'
        sys.stdout.write(f'{note}: {name}\n')
    failed = [name for name in tally.failed if name not in allowed]
    sys.stdout.write(f'{len(tally.passed)} passed, {len(failed)} failed\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
