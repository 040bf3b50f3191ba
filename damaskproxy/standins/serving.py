"""Start and stop of the HTTP servers of the stand-ins."""

import asyncio
import signal
from dataclasses import dataclass, field

from aiohttp import web

from damaskproxy.model import Address
from damaskproxy.standins.faults import Faults

__all__ = ["RunningSite", "close_site", "serve_until_signal", "start_site"]

SHUTDOWN_TIMEOUT_S = 0.05


async def start_site(
    app: web.Application, host: str, port: int
) -> tuple[web.AppRunner, Address]:
    """Serve `app` and return its runner and the bound address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
    except OSError:
        await runner.cleanup()
        raise
    bound_host, bound_port = runner.addresses[0][:2]
    return runner, Address(bound_host, bound_port)


async def close_site(runner: web.AppRunner) -> None:
    """Close the listener and the connections."""
    await runner.cleanup()


@dataclass(slots=True)
class RunningSite:
    """A stand-in that runs in this process.

    Parameters
    ----------
    address : Address
        Address of the listener.
    faults : Faults
        Injected faults; set its fields directly.
    runner : aiohttp.web.AppRunner
        Runner of the HTTP server.
    """

    address: Address
    faults: Faults
    runner: web.AppRunner = field(repr=False)

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f"http://{self.address}"

    async def close(self) -> None:
        """Close the listener; later connections are refused."""
        await close_site(self.runner)


async def serve_until_signal() -> None:
    """Return when the process receives SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
