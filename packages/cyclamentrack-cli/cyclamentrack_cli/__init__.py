"""The cyclamentrack command line, for callers and operators."""
