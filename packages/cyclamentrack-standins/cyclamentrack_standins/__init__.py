"""Small stand-ins for the platform and its workers, for tests and the demo.

They are never shipped. Each can be used in memory, under a clock that tests
pause and advance, or behind HTTP as a process of its own.
"""
