"""Tests of the product: scenarios per promise and stateful fuzzing."""
