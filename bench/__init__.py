"""Benchmarks and experiments."""
