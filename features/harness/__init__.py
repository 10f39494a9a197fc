"""Shared test code: paused clock, cell in memory, HTTP caller, oracle."""
