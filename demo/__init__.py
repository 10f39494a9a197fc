"""The demonstration: a small cell on loopback, from start to counted end."""
