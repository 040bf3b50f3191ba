"""Cost of the control plane of one node by mesh size.

Measures processor time, memory and traffic. One process runs the control plane of a
real node over gRPC on loopback. The other members of the mesh are synthetic: records in
one shared list, of which only the peers that exchange messages with the measured node
have a listener.
"""

import argparse
import asyncio
import json
import logging
import multiprocessing
import os
import statistics
import sys
import time
from dataclasses import asdict, dataclass

import uvloop

from benchmarks.control_events import (
    churn,
    lose_data_centre,
    partition_regions,
    reconnect_regions,
    return_lost,
)
from benchmarks.control_peers import Peers
from benchmarks.control_subject import run_subject

__all__ = ["Fit", "fit_line", "main"]

SECTIONS_AT_TARGET = 110
TARGET_MEMBERS = 5_000
SETTLE_S = 4.0
REFERENCE_STEPS = 10_000_000
CONVERGE_LIMIT_S = 30.0
MB = 1024 * 1024
KB = 1024
TARGETS = {"cpu_percent": 1.1, "resident_mb": 128.0, "kb_per_s": 16.0}


@dataclass(frozen=True, slots=True)
class Fit:
    """Linear fit of measured points, with the standard error of its slope."""

    base: float
    slope_per_1000: float
    slope_error_per_1000: float


def fit_line(sizes: list[int], values: list[float]) -> Fit | None:
    """Fit ``base + slope * size`` by least squares; None for under three points."""
    if len(sizes) < 3:
        return None
    slope, base = statistics.linear_regression(sizes, values)
    residuals = [y - base - slope * x for x, y in zip(sizes, values, strict=True)]
    mean = statistics.fmean(sizes)
    sum_of_squares = sum((x - mean) ** 2 for x in sizes)
    variance = sum(r * r for r in residuals) / (len(sizes) - 2)
    error = (variance / sum_of_squares) ** 0.5
    return Fit(base, slope * 1_000, error * 1_000)


class Recorder:
    """Receives the samples of the measured process and evaluates phases."""

    def __init__(self, pipe):
        self._pipe = pipe
        self.samples: list[dict] = []
        self._arrived = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), self._read)

    def _read(self) -> None:
        try:
            self.samples.append(self._pipe.recv())
            self._arrived.set()
        except EOFError:
            asyncio.get_running_loop().remove_reader(self._pipe.fileno())

    async def next(self) -> dict:
        """Return the next sample."""
        self._arrived.clear()
        await self._arrived.wait()
        return self.samples[-1]

    async def measure(self, duration_s: float, action=None) -> dict:
        """Return the cost of one phase.

        Parameters
        ----------
        duration_s : float
            Duration of the phase.
        action : coroutine function, optional
            Called at the start of the phase, to cause its events.
        """
        await self.next()
        start = len(self.samples) - 1
        if action is not None:
            await action()
        while self.samples[-1]["time_s"] < self.samples[start]["time_s"] + duration_s:
            await self.next()
        return _cost(self.samples[start:])


def _cost(samples: list[dict]) -> dict:
    first, last = samples[0], samples[-1]
    elapsed_s = last["time_s"] - first["time_s"]
    pairs = list(zip(samples, samples[1:], strict=False))
    shares = [(b["cpu_s"] - a["cpu_s"]) / (b["time_s"] - a["time_s"]) for a, b in pairs]
    inward = [(b["in_bytes"] - a["in_bytes"]) / KB for a, b in pairs]
    return {
        "seconds": round(elapsed_s, 1),
        "cpu_percent": 100 * (last["cpu_s"] - first["cpu_s"]) / elapsed_s,
        "cpu_percent_peak": 100 * max(shares),
        "in_kb_per_s": (last["in_bytes"] - first["in_bytes"]) / KB / elapsed_s,
        "out_kb_per_s": (last["out_bytes"] - first["out_bytes"]) / KB / elapsed_s,
        "in_kb_per_s_peak": max(inward),
        "resident_mb": max(sample["resident_bytes"] for sample in samples) / MB,
    }


async def _converge(recorder: Recorder, peers: Peers) -> float | None:
    """Return the seconds until the node has the view of the peers, None if never."""
    start_s = time.monotonic()
    while time.monotonic() - start_s < CONVERGE_LIMIT_S:
        sample = await recorder.next()
        same_sections = sample["sections"] == sum(peers.sections.versions.values())
        if sample["digest"] == peers.members.digest and same_sections:
            return round(time.monotonic() - start_s, 1)
    return None


async def measure_size(count: int, options: argparse.Namespace) -> dict:
    """Return the costs of all phases at one size."""
    sections = max(1, round(SECTIONS_AT_TARGET * count / TARGET_MEMBERS))
    peers = Peers(count, sections, options.seed, time.monotonic)
    seed_address = await peers.start()
    receiver, sender = multiprocessing.Pipe(duplex=False)
    subject = multiprocessing.get_context("spawn").Process(
        target=run_subject, args=(sender, str(seed_address), sections, options.seed)
    )
    subject.start()
    sender.close()
    recorder = Recorder(receiver)
    try:
        return await _measure_phases(count, peers, recorder, options)
    finally:
        await peers.stop()
        subject.terminate()
        subject.join()


async def _measure_phases(
    count: int, peers: Peers, recorder: Recorder, options: argparse.Namespace
) -> dict:
    seconds = options.seconds
    await recorder.next()
    phases = {"join": await recorder.measure(SETTLE_S)}
    converged = {"join": await _converge(recorder, peers)}
    await peers.start_predecessors()
    await asyncio.sleep(SETTLE_S)
    await recorder.measure(SETTLE_S)
    phases["steady"] = await recorder.measure(2 * seconds)

    async def run_churn():
        counts.append(await churn(peers, 2 * seconds, options.acceleration))

    counts: list[int] = []
    phases["churn"] = await recorder.measure(2 * seconds, run_churn)
    actions = {
        "data centre lost": lose_data_centre,
        "data centre back": return_lost,
        "regions parted": partition_regions,
        "regions joined": reconnect_regions,
    }
    await asyncio.sleep(2 * SETTLE_S)
    converged["churn"] = await _converge(recorder, peers)
    for name, action in actions.items():
        phases[name] = await recorder.measure(seconds, lambda a=action: a(peers))
        converged[name] = await _converge(recorder, peers)
    return {
        "members": count,
        "reference_ms": round(_reference_ms(), 1),
        "load_average": os.getloadavg()[0],
        "events": counts[0],
        "phases": phases,
        "converged_after_s": converged,
        "last": recorder.samples[-1],
        "day": _average_day(phases, options.acceleration),
    }


def _reference_ms() -> float:
    """Return the processor time of a fixed loop in ms, which rises with the load."""
    start_s = time.process_time()
    sum(range(REFERENCE_STEPS))
    return 1_000 * (time.process_time() - start_s)


def _average_day(phases: dict, acceleration: float) -> dict:
    """Return the average cost over a day, with the events at their daily rates."""
    steady, churning = phases["steady"], phases["churn"]
    figures = {
        name: steady[name] + (churning[name] - steady[name]) / acceleration
        for name in ("cpu_percent", "in_kb_per_s", "out_kb_per_s")
    }
    figures["kb_per_s"] = figures["in_kb_per_s"] + figures["out_kb_per_s"]
    figures["resident_mb"] = max(phase["resident_mb"] for phase in phases.values())
    return figures


def _fits(results: list[dict]) -> dict:
    sizes = [result["members"] for result in results]
    fits = {}
    for name in ("cpu_percent", "resident_mb", "in_kb_per_s", "out_kb_per_s"):
        fit = fit_line(sizes, [result["day"][name] for result in results])
        fits[name] = fit and asdict(fit)
    return fits


def _print_text(report: dict) -> None:
    for result in report["results"]:
        print(
            f"members {result['members']}, events {result['events']}, "
            f"reference loop {result['reference_ms']} ms, "
            f"load {result['load_average']:.1f}"
        )
        for name, phase in result["phases"].items():
            after = result["converged_after_s"].get(name, "-")
            values = " ".join(f"{key}={value:.2f}" for key, value in phase.items())
            print(f"  {name:18} {values} converged_after_s={after}")
        day = " ".join(f"{key}={value:.2f}" for key, value in result["day"].items())
        print(f"  {'average day':18} {day}")
    for name, fit in report["fits"].items():
        if fit:
            print(
                f"fit {name}: {fit['base']:.3f} + {fit['slope_per_1000']:.3f}"
                f" (+- {fit['slope_error_per_1000']:.3f}) per 1,000 members"
            )
    print("targets", report["targets"])


def main() -> None:
    """Measure the sizes given on the command line and print the report."""
    parser = argparse.ArgumentParser(prog="benchmarks.control_cost")
    parser.add_argument("--members", default="100,500,1000,2500,5000")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of a phase"
    )
    parser.add_argument(
        "--acceleration",
        type=float,
        default=60.0,
        help="factor on the daily event rates",
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    results = []
    for count in map(int, options.members.split(",")):
        results.append(uvloop.run(measure_size(count, options)))
        print(f"measured {count} members", file=sys.stderr)
    report = {"results": results, "fits": _fits(results), "targets": TARGETS}
    if options.json:
        print(json.dumps(report, indent=1))
    else:
        _print_text(report)


if __name__ == "__main__":
    main()
