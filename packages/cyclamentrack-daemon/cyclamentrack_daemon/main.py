"""Command line entry point of the daemon.

The libraries are imported once the handlers of signals are set.
"""

import importlib

from cyclamentrack_daemon.early_signals import EarlySignals


def main() -> None:
    """Run the command line."""
    signals = EarlySignals()
    signals.set_up()
    importlib.import_module('cyclamentrack_daemon.options').app(obj=signals)
