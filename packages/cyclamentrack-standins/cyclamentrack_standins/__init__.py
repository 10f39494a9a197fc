"""Stand-ins for the platform and its workers, for tests and the demo.

They aren't shipped. They run either in memory, under a clock that tests
control, or behind HTTP as a separate process.
"""
