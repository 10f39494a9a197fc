"""Measurements: ``python -m bench NAME [--json]``."""
