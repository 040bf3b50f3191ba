"""Load balancing over backend servers."""

from damaskproxy.balancing.balancer import Balancer, CallResult
from damaskproxy.balancing.settings import BalancingSettings

__all__ = ["Balancer", "BalancingSettings", "CallResult"]
