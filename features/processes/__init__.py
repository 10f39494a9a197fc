"""Real node processes between stand-ins of the platform, on loopback."""
