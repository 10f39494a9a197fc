"""The demonstration: a small cell on loopback, and its final counts."""
