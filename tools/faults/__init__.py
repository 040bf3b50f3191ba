"""Deterministic fault injection: virtual time, a table, links and fault tables."""
