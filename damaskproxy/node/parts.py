"""Components of a node, built by `damaskproxy.node.compose`."""

import random
from dataclasses import dataclass

from damaskproxy.balancing import Balancer
from damaskproxy.config import NodeSettings
from damaskproxy.ledger import KeyRing, Ledger, OutcomeWriter
from damaskproxy.membership import ControlClient, ControlServer, Membership
from damaskproxy.metrics import NodeMetrics
from damaskproxy.model import Address
from damaskproxy.move import DrainPlanner, SectionPoller, SectionStore
from damaskproxy.node.listeners import HttpListener
from damaskproxy.node.state import NodeState
from damaskproxy.quarantine import Quarantine
from damaskproxy.routing import (
    BackendClient,
    BackendExecutor,
    Gateway,
    LocalBackend,
    PeerServer,
    PeerStreams,
    Target,
)
from damaskproxy.store import HttpObjectStore, HttpTable

__all__ = ["Addresses", "Parts"]


@dataclass(slots=True)
class Addresses:
    """Addresses of the open listeners."""

    call: Address
    backend: Address
    peer: Address
    control: Address
    admin: Address


@dataclass(slots=True)
class Parts:
    """Components of a node."""

    settings: NodeSettings
    incarnation: int
    rng: random.Random
    state: NodeState
    metrics: NodeMetrics
    table: HttpTable
    objects: HttpObjectStore
    control_client: ControlClient
    control_server: ControlServer
    membership: Membership
    sections: SectionStore
    poller: SectionPoller
    planner: DrainPlanner
    key_ring: KeyRing
    ledger: Ledger
    outcomes: OutcomeWriter
    quarantine: Quarantine
    balancer: Balancer
    backend: LocalBackend
    backend_client: BackendClient
    executor: BackendExecutor
    target: Target
    streams: PeerStreams
    peer_server: PeerServer
    gateway: Gateway
    listeners: dict[str, HttpListener]
    addresses: Addresses
