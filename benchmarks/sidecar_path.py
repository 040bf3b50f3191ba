"""Latency and processor time that two sidecars add to a call.

``python -m benchmarks.sidecar_path [--json]``. The sidecars are separate
processes; the caller, the backend server and the stand-in of the row store share this
process.
"""

import asyncio
import itertools
import json
import random
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from benchmarks.cpu import process_cpu_s
from benchmarks.figures import percentile, send_at_rate
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.platform import HEADERS
from damaskproxy.platform.standins import (
    RowStoreStandIn,
    StampedBackend,
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.sidecar.settings import to_address
from demo.processes import free_ports

__all__ = ["measure"]

LISTENERS = ("caller", "peer", "readiness", "control")
WARM_UP_CALLS = 200
BLOCK_S = 3.0
RATES_PER_S = (42, 168, 420)
REPORT_S = 1.0
START_TIMEOUT_S = 10.0
SEED = 1


async def _report(control: str, backend: StampedBackend, address: str) -> None:
    """Send status reports until cancelled."""
    pool = ConnectionPool(to_address(control))
    for sequence in itertools.count(1):
        request = report_request(
            backend.instance_id,
            address,
            backend.service,
            slots=64,
            born_ms=1,
            sequence=sequence,
        )
        try:
            await pool.exchange(request)
        except HttpError as error:
            print(f"status report was not confirmed: {error}", file=sys.stderr)
        await asyncio.sleep(REPORT_S)


async def _wait_until_ready(readiness: str) -> None:
    """Wait until a sidecar is ready."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            pool = ConnectionPool(to_address(readiness))
            try:
                if (await pool.exchange(readiness_request())).status == 200:
                    return
            except HttpError:
                pass
            finally:
                pool.close()
            await asyncio.sleep(0.05)


def _make_call(pool: ConnectionPool, backend: StampedBackend, *, is_direct: bool):
    numbers = itertools.count()

    async def call() -> None:
        request_id = b"%016x" % next(numbers)
        headers = [(b"Host", b"shop"), (HEADERS.request_id, request_id)]
        if is_direct:
            target = backend.instance_id.encode()
            headers.append((HEADERS.target_instance, target))
        response = await pool.exchange(Request(b"GET", b"/read/1", headers))
        backend.requests.clear()
        backend.runs.clear()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")

    return call


async def measure() -> dict[str, dict[str, float]]:
    """Return latencies in ms and processor time in us per call, by rate."""
    async with AsyncExitStack() as stack:
        rows = RowStoreStandIn()
        store_address = await rows.open()
        stack.push_async_callback(rows.close)
        rows.put("op", "config", encode_configuration())
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes, settings = [], []
        backends = [StampedBackend("i-1", "stores"), StampedBackend("i-2", "orders")]
        for backend in backends:
            address = await backend.open()
            stack.push_async_callback(backend.close)
            body = {
                "node_id": f"n-{backend.instance_id}",
                "data_centre": "a",
                "region": "r",
                "service": backend.service,
                "backend_address": address,
                "listeners": {
                    n: f"127.0.0.1:{port}"
                    for n, port in zip(LISTENERS, free_ports(len(LISTENERS)))
                },
                "store_address": store_address,
            }
            path = folder / f"{backend.instance_id}.json"
            path.write_text(json.dumps(body), encoding="utf-8")
            command = [sys.executable, "-m", "damaskproxy.sidecar", str(path)]
            process = subprocess.Popen(command, stdout=subprocess.DEVNULL)  # noqa: ASYNC220
            stack.callback(process.kill)
            processes.append(process)
            settings.append(body)
            await _wait_until_ready(body["listeners"]["readiness"])
            task = asyncio.create_task(
                _report(body["listeners"]["control"], backend, address)
            )
            stack.callback(task.cancel)
        await asyncio.sleep(REPORT_S)
        pools = {
            "direct": ConnectionPool(to_address(settings[1]["backend_address"])),
            "sidecars": ConnectionPool(to_address(settings[0]["listeners"]["caller"])),
        }
        calls = {
            name: _make_call(pool, backends[1], is_direct=name == "direct")
            for name, pool in pools.items()
        }
        for _ in range(WARM_UP_CALLS):
            for call in calls.values():
                await call()
        return {
            f"{rate}/s": await _measure_rate(rate, calls, processes)
            for rate in RATES_PER_S
        }


async def _measure_rate(rate: int, calls, processes) -> dict[str, float]:
    rng = random.Random(SEED)
    figures = {}
    for name, call in calls.items():
        before_s = sum(process_cpu_s(process.pid) for process in processes)
        times_s = await send_at_rate(call, rate_per_s=rate, duration_s=BLOCK_S, rng=rng)
        spent_s = sum(process_cpu_s(process.pid) for process in processes) - before_s
        figures[f"{name} p50 ms"] = percentile(times_s, 0.5) * 1000
        figures[f"{name} p99 ms"] = percentile(times_s, 0.99) * 1000
        if name == "sidecars":
            figures["processor us a call"] = spent_s / len(times_s) * 1e6
    return {name: round(value, 3) for name, value in figures.items()}


app = typer.Typer(add_completion=False)


@app.command()
def main(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Measure latency and processor time at several rates."""
    results = uvloop.run(measure())
    if as_json:
        typer.echo(json.dumps(results))
        return
    for rate, figures in results.items():
        texts = ", ".join(f"{name} {value}" for name, value in figures.items())
        typer.echo(f"{rate}: {texts}")


if __name__ == "__main__":
    app()
