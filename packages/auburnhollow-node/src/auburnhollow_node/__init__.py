"""The node: the HTTP front end for callers, the peer link and the wiring of all components."""
