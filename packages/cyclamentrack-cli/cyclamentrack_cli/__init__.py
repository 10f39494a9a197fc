"""Command line of cyclamentrack, for callers and operators."""
