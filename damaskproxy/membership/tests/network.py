"""In-memory network of membership nodes on an event loop with virtual time."""

import asyncio
import logging
import random
import selectors

import msgspec

from damaskproxy.membership import ControlError, Extras, Membership, MembershipSettings
from damaskproxy.membership.transport import METHODS
from damaskproxy.model import Address, Member, MemberState

DEADLINES_S = {"Exchange": 0.5, "ProbeVia": 1.0}


class _VirtualSelector(selectors.DefaultSelector):
    now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no task can ever run again")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


def run_virtual(coroutine):
    """Run a scenario in virtual time, without printing its expected log events."""
    logger = logging.getLogger("damaskproxy.membership")
    logger.propagate, propagates = False, logger.propagate
    logger.addHandler(null_handler := logging.NullHandler())
    try:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(coroutine)
    finally:
        logger.removeHandler(null_handler)
        logger.propagate = propagates


class Versions:
    """Stand-in for sections: one version number that only increases."""

    def __init__(self):
        self.number = 0
        self.extras = Extras(
            versions=lambda: str(self.number).encode(),
            missing=lambda versions: (
                str(self.number).encode() if int(versions) < self.number else b""
            ),
            merge=self.merge,
        )

    def merge(self, payload):
        self.number = max(self.number, int(payload))


class Node:
    """One process: membership, its task and its connection to the network."""

    def __init__(self, network, member, settings, table=None):
        loop = asyncio.get_running_loop()
        self.network = network
        self.running = asyncio.Event()
        self.running.set()
        self.versions = Versions()
        self.membership = Membership(
            member,
            call=self.call,
            settings=settings,
            now_s=loop.time,
            sleep=self.sleep,
            rng=random.Random(f"{network.seed}/{member.node_id}"),
            extras=self.versions.extras,
            table=table,
            wall_s=lambda: loop.time() + network.rng.random() * network.clock_error_s,
        )
        self.handlers = {
            "Exchange": self.membership.handle_exchange,
            "ProbeVia": self.membership.handle_probe_via,
        }
        self.task = None

    @property
    def node_id(self):
        return self.membership.self_member().node_id

    def start(self):
        self.network.nodes[self.membership.self_member().control] = self
        self.task = asyncio.create_task(self.membership.run())

    def crash(self):
        address = self.membership.self_member().control
        if self.network.nodes.get(address) is self:
            del self.network.nodes[address]
        self.task.cancel()

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
        await self.running.wait()

    async def call(self, address, method, message):
        try:
            async with asyncio.timeout(DEADLINES_S[method]):
                reply = await self.network.deliver(self, address, method, message)
        except TimeoutError as error:
            raise ControlError("deadline exceeded") from error
        finally:
            await self.running.wait()
        return reply

    def live_ids(self):
        return {member.node_id for member in self.membership.members()}


class Network:
    """Delivers calls between nodes; `loss` and `duplicates` are probabilities."""

    def __init__(self, seed=0):
        self.seed = seed
        self.rng = random.Random(seed)
        self.nodes = {}
        self.is_cut = lambda source, target: False
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay_s = 0.002
        self.clock_error_s = 0.05
        self._deliveries = set()

    async def deliver(self, source, address, method, message):
        target = self.nodes.get(address)
        if target is None:
            raise ControlError("connection refused")
        await self._transmit(source, target)
        data = msgspec.msgpack.encode(message)
        tasks = [self._spawn(target, method, data)]
        if self.rng.random() < self.duplicates:
            tasks.append(self._spawn(target, method, data))
        reply = await asyncio.shield(self.rng.choice(tasks))
        await self._transmit(target, source)
        return msgspec.msgpack.decode(reply, type=METHODS[method][1])

    def _spawn(self, target, method, data):
        """Handle a request that has arrived, even if its sender stops waiting."""
        task = asyncio.create_task(self._handle(target, method, data))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)
        return task

    async def _handle(self, target, method, data):
        await target.running.wait()
        request = msgspec.msgpack.decode(data, type=METHODS[method][0])
        return msgspec.msgpack.encode(await target.handlers[method](request))

    async def _transmit(self, source, target):
        if self.is_cut(source, target) or self.rng.random() < self.loss:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s * (0.5 + self.rng.random()))


def member(number, incarnation=1, data_centres=6):
    data_centre_number = number % data_centres
    address = Address(f"10.0.{data_centre_number}.{number}", 7000)
    return Member(
        f"node-{number}",
        incarnation,
        0,
        f"region-{data_centre_number % 2}",
        f"dc-{data_centre_number}",
        address,
        address,
        address,
        MemberState.SERVING,
        f"service-{number % 5}",
        10,
    )


async def start_mesh(network, count, *, settled_s=6, **settings):
    """Start nodes with node 0 as their seed and wait until the mesh has formed."""
    seed = str(member(0).control)
    chosen = MembershipSettings(seeds=(seed,), **settings)
    nodes = [Node(network, member(number), chosen) for number in range(count)]
    for node in nodes:
        node.start()
    await asyncio.sleep(settled_s)
    return nodes


def data_centre(node):
    return node.membership.self_member().data_centre


def region(node):
    return node.membership.self_member().region


async def until(condition, limit_s):
    """Wait until `condition` holds; return the virtual time it took in seconds."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not condition():
        if loop.time() - start_s > limit_s:
            raise AssertionError(f"not within {limit_s} virtual seconds")
        await asyncio.sleep(0.1)
    return loop.time() - start_s
