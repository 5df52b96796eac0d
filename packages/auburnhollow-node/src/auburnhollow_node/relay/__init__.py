"""The relay node: forwards requests unmodified according to the configured routes."""
