"""Model checks of the scheduler's protocols."""
