"""The node: HTTP front for callers, peer link, and the wiring of the slices."""
