"""The node: composition root, life cycle, administration and command line."""

from damaskproxy.node.compose import compose
from damaskproxy.node.errors import NodeError
from damaskproxy.node.lifecycle import Node, run_node
from damaskproxy.node.parts import Parts

__all__ = ["Node", "NodeError", "Parts", "compose", "run_node"]
