"""Small stand-ins for the platform and the backend servers, for demo, tests and bench."""
