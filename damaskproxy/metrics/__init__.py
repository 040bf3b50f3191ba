"""Prometheus metrics of a node."""

from damaskproxy.metrics.node import NodeMetrics

__all__ = ["NodeMetrics"]
