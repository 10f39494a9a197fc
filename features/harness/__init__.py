"""What the tests share: a paused clock, a cell in memory, an HTTP caller."""
