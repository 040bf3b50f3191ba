"""Compare the latency and processor time of transports between two nodes.

``python -m benchmarks.transports [--rounds N] [--json]`` starts a server and a client
process for each transport, rate and round.
"""

import asyncio
import json
import random
import subprocess
import sys
from typing import Annotated

import typer
import uvloop

from benchmarks.figures import cpu_s, median, percentile, send_at_rate
from benchmarks.transport_kinds import TRANSPORTS

RATES_PER_S = (42, 400)
WARM_UP_CALLS = 100
CALLS = {42: 840, 400: 4000}

app = typer.Typer(add_completion=False)


async def serve(name: str) -> None:
    """Print the processor time for each line of standard input, until it closes."""
    port, close = await TRANSPORTS[name].serve()
    print(port, flush=True)
    loop = asyncio.get_running_loop()
    command = await loop.run_in_executor(None, sys.stdin.readline)
    while command:
        print(cpu_s(), flush=True)
        command = await loop.run_in_executor(None, sys.stdin.readline)
    await close()


async def drive(name: str, port: int, rate_per_s: int, seed: int) -> None:
    """Call the server; print the latencies in ms and the processor time in s."""
    call, close = await TRANSPORTS[name].connect(port)
    for _ in range(WARM_UP_CALLS):
        await call()
    print("warm", flush=True)
    sys.stdin.readline()
    before_s = cpu_s()
    times_s = await send_at_rate(
        call,
        rate_per_s=rate_per_s,
        duration_s=CALLS[rate_per_s] / rate_per_s,
        rng=random.Random(seed),
    )
    result = {"cpu_s": cpu_s() - before_s, "times_ms": [t * 1000 for t in times_s]}
    print(json.dumps(result), flush=True)
    await close()


def _spawn(*arguments: object) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.transports", *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def _exchange_line(process: subprocess.Popen) -> str:
    process.stdin.write("go\n")
    process.stdin.flush()
    return process.stdout.readline()


def measure(name: str, rate_per_s: int, seed: int) -> dict[str, float]:
    """Return the figures of one transport at one rate."""
    server = _spawn("serve", name)
    port = int(server.stdout.readline())
    client = _spawn("drive", name, port, rate_per_s, seed)
    try:
        client.stdout.readline()
        server_before_s = float(_exchange_line(server))
        result = json.loads(_exchange_line(client))
        server_s = float(_exchange_line(server)) - server_before_s
    finally:
        for process in (client, server):
            process.stdin.close()
            process.wait(timeout=10)
    calls = len(result["times_ms"])
    return {
        "p50_ms": median(result["times_ms"]),
        "p99_ms": percentile(result["times_ms"], 0.99),
        "client_cpu_us": result["cpu_s"] / calls * 1e6,
        "server_cpu_us": server_s / calls * 1e6,
    }


def compare(rounds: int) -> list[dict[str, object]]:
    """Return the median of each figure over interleaved rounds."""
    runs: dict[tuple[str, int], list[dict[str, float]]] = {}
    for number in range(rounds):
        for rate_per_s in RATES_PER_S:
            for name in TRANSPORTS:
                figures = measure(name, rate_per_s, seed=number)
                runs.setdefault((name, rate_per_s), []).append(figures)
    rows = []
    for (name, rate_per_s), figures in runs.items():
        row = {key: median([run[key] for run in figures]) for key in figures[0]}
        rows.append({"transport": name, "rate_per_s": rate_per_s, **row})
    return rows


@app.command("serve", hidden=True)
def serve_command(name: str) -> None:
    """Run the server process."""
    uvloop.run(serve(name))


@app.command("drive", hidden=True)
def drive_command(name: str, port: int, rate_per_s: int, seed: int) -> None:
    """Run the client process."""
    uvloop.run(drive(name, port, rate_per_s, seed))


@app.callback(invoke_without_command=True)
def main(
    context: typer.Context,
    rounds: Annotated[int, typer.Option(help="Rounds per figure.")] = 3,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare the transports and print a table."""
    if context.invoked_subcommand:
        return
    rows = compare(rounds)
    if as_json:
        print(json.dumps(rows))
        return
    print("| transport | calls/s | p50 ms | p99 ms | client us | server us |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    for row in rows:
        print(
            f"| {TRANSPORTS[row['transport']].title} | {row['rate_per_s']} "
            f"| {row['p50_ms']:.2f} | {row['p99_ms']:.2f} "
            f"| {row['client_cpu_us']:.0f} | {row['server_cpu_us']:.0f} |"
        )


if __name__ == "__main__":
    app()
