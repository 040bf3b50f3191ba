"""Benchmarks of damaskproxy; run ``python -m benchmarks --help``."""
