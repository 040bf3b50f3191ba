"""Deterministic fault injection for simulated runs with virtual time."""
