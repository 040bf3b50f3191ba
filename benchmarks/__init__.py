"""Benchmarks of damaskproxy; each module is run with ``python -m``."""
