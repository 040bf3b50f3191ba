"""Measured process: the control plane of one real node.

It reports its processor time, memory and traffic once a second through a pipe. The
reported processor time excludes the cost of taking the samples.
"""

import asyncio
import logging
import os
import random
import socket
import struct
import time
from pathlib import Path

import msgspec
import uvloop

from damaskproxy.membership import (
    ControlClient,
    ControlServer,
    Extras,
    Membership,
    MembershipSettings,
)
from damaskproxy.model import Address, Member, MemberState

__all__ = ["SUBJECT_ID", "SectionVersions", "run_subject"]

SUBJECT_ID = "subject"
SAMPLE_INTERVAL_S = 1.0
TCP_INFO_BYTES = 144
# Offsets in struct tcp_info: bytes acknowledged and received, segments out and in.
TCP_COUNTERS = struct.Struct("=120xQQII")
# IP header, TCP header and timestamp option. Loopback segments are larger than those of
# a network, so the header bytes counted with it are a lower bound.
SEGMENT_HEADER_BYTES = 52
KB = 1024


class SectionVersions:
    """Stand-in for the sections: a version and a payload of about 2 KB each.

    Parameters
    ----------
    count : int
        Number of sections.
    """

    def __init__(self, count: int):
        self.versions = {f"section-{number:03}": 1 for number in range(count)}
        self._payload = os.urandom(2_000)
        self._state = b""
        self._encode()
        self.extras = Extras(lambda: self._state, self._missing, self._merge)

    def _encode(self) -> None:
        self._state = msgspec.msgpack.encode(self.versions)

    def raise_version(self, name: str) -> None:
        """Increment the version of one section."""
        self.versions[name] += 1
        self._encode()

    def _missing(self, versions: bytes) -> bytes:
        known = msgspec.msgpack.decode(versions) if versions else {}
        newer = {
            name: (version, self._payload)
            for name, version in self.versions.items()
            if version > known.get(name, 0)
        }
        return msgspec.msgpack.encode(newer) if newer else b""

    def _merge(self, payload: bytes) -> None:
        for name, (version, _body) in msgspec.msgpack.decode(payload).items():
            self.versions[name] = max(version, self.versions.get(name, 0))
        self._encode()


class TrafficCounter:
    """Counts the bytes of all TCP connections of this process, closed ones included."""

    def __init__(self):
        self._connections: dict[tuple, tuple[int, int]] = {}

    def totals(self) -> tuple[int, int]:
        """Return the bytes received and sent, including segment headers."""
        for name in os.listdir("/proc/self/fd"):
            try:
                is_socket = os.readlink(f"/proc/self/fd/{name}").startswith("socket:")
                if is_socket:
                    self._read(int(name))
            except OSError:
                continue
        counted = self._connections.values()
        return sum(pair[0] for pair in counted), sum(pair[1] for pair in counted)

    def _read(self, descriptor: int) -> None:
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            if connection.family not in (socket.AF_INET, socket.AF_INET6):
                return
            ends = connection.getsockname(), connection.getpeername()
            info = connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        sent, received, segments_out, segments_in = TCP_COUNTERS.unpack(info)
        self._connections[ends] = (
            received + segments_in * SEGMENT_HEADER_BYTES,
            sent + segments_out * SEGMENT_HEADER_BYTES,
        )


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    for line in Path("/proc/self/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KB
    raise RuntimeError("no VmRSS in /proc/self/status")


def run_subject(pipe, seed_address: str, section_count: int, seed: int) -> None:
    """Run the node until the other end of `pipe` is closed.

    Parameters
    ----------
    pipe : multiprocessing.connection.Connection
        Takes one sample, a dictionary, per second.
    seed_address : str
        Control address of a synthetic peer.
    section_count : int
        Number of sections that the node has at its start.
    seed : int
        Seed of the random choices.
    """
    logging.disable(logging.CRITICAL)
    uvloop.run(_run(pipe, seed_address, section_count, seed))


async def _run(pipe, seed_address: str, section_count: int, seed: int) -> None:
    settings = MembershipSettings(seeds=(seed_address,))
    client = ControlClient(settings, now_s=time.monotonic)
    memberships: list[Membership] = []
    server = ControlServer(
        {
            "Exchange": lambda request: memberships[0].handle_exchange(request),
            "ProbeVia": lambda request: memberships[0].handle_probe_via(request),
        }
    )
    address = await server.start(Address("127.0.0.1", 0))
    sections = SectionVersions(section_count)
    membership = Membership(
        _subject_member(address),
        call=client.call,
        settings=settings,
        now_s=time.monotonic,
        sleep=asyncio.sleep,
        rng=random.Random(seed),
        extras=sections.extras,
    )
    memberships.append(membership)
    running = asyncio.create_task(membership.run())
    try:
        await _report(pipe, membership, sections)
    except (BrokenPipeError, ConnectionResetError):
        running.cancel()
    await client.close()
    await server.stop()


def _subject_member(address: Address) -> Member:
    return Member(
        SUBJECT_ID,
        1,
        0,
        "region-0",
        "dc-0",
        address,
        address,
        address,
        MemberState.SERVING,
        "service-0",
        70,
    )


async def _report(pipe, membership: Membership, sections: SectionVersions) -> None:
    traffic = TrafficCounter()
    sampling_s = 0.0
    while True:
        start_s = time.process_time()
        bytes_in, bytes_out = traffic.totals()
        pipe.send(
            {
                "time_s": time.monotonic(),
                "cpu_s": start_s - sampling_s,
                "resident_bytes": resident_bytes(),
                "in_bytes": bytes_in,
                "out_bytes": bytes_out,
                "members": len(membership.members()),
                "digest": membership.digest(),
                "incarnation": membership.self_member().incarnation,
                "is_isolated": membership.is_isolated(),
                "sections": sum(sections.versions.values()),
            }
        )
        sampling_s += time.process_time() - start_s
        await asyncio.sleep(SAMPLE_INTERVAL_S)
