"""Model checks of the core protocol."""
