"""Fakes of the platform's services and the backend servers, for the demo, tests and benchmarks."""
