"""Tests of the product: scenarios and stateful fuzzing."""
