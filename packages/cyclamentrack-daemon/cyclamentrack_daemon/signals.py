"""Signals to a process while its event loop runs."""

import logging
import signal

import trio

from cyclamentrack_daemon.early_signals import ENDING, EarlySignals

_log = logging.getLogger(__name__)


async def read_signals(
    early: EarlySignals,
    ending: trio.Event,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Read signals until cancelled; the first that asks to end sets ``ending``.

    One that came before is read too. Start this before anything that has to be
    shut down in order.
    """
    with trio.open_signal_receiver(signal.SIGHUP, *ENDING) as received:
        if early.ending is not None:
            _end(early.ending, ending)
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                _log.info(
                    'SIGHUP ignored: settings are only read at the start; '
                    'restart the process to apply changes'
                )
                continue
            _end(signal.Signals(number), ending)


def _end(number: signal.Signals, ending: trio.Event) -> None:
    if ending.is_set():
        return
    _log.info('signal %s received, shutting down', number.name)
    ending.set()
