"""Stand-ins of the platform, replicas and clients for the cases of the second review."""
