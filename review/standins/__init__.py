"""Small stand-ins of the platform, of replicas and of clients for the cases of the review."""
