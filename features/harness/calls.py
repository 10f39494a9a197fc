"""Counts function calls, to measure the cost of code without a clock."""

import sys


class CallCounter:
    """Counts calls of Python functions inside its ``with`` block.

    Each item that a generator yields counts as one. With ``instructions`` it
    counts the executed bytecode instructions instead, which is much slower.
    """

    def __init__(self, *, instructions=False):
        self.count = 0
        self._instructions = instructions

    def __enter__(self):
        if self._instructions:
            sys.settrace(self._trace)
        else:
            sys.setprofile(self._note)
        return self

    def __exit__(self, *error):
        sys.settrace(None)
        sys.setprofile(None)

    def _note(self, frame, event, argument):
        del frame, argument
        self.count += event == 'call'

    def _trace(self, frame, event, argument):
        del argument
        frame.f_trace_opcodes = True
        self.count += event == 'opcode'
        return self._trace
