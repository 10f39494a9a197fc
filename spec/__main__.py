"""Run the model checks: ``python -m spec``."""

import sys

from spec.checks import check_all

if __name__ == '__main__':
    verdicts = check_all()
    for verdict in verdicts:
        sys.stdout.write(f'{verdict.summary}\n')
    sys.exit(0 if all(verdict.passed for verdict in verdicts) else 1)
