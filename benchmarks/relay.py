"""Plain HTTP relay without overload control: lower bound of the added latency.

``python -m benchmarks.relay PORT TARGET_URL`` forwards each request once its
body is complete.
"""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["start_relay"]

# Hop-by-hop headers, and those that the HTTP client sets itself.
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "host", "content-length")
)


def forwarded(headers) -> list[tuple[str, str]]:
    """Return the headers that a relay forwards."""
    return [(n, v) for n, v in headers.items() if n.lower() not in HOP_HEADERS]


async def start_relay(host: str, port: int, target: str):
    """Start a relay to `target` and return a coroutine function that closes it."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )

    async def handle(request: web.BaseRequest) -> web.Response:
        async with session.request(
            request.method,
            target + request.path_qs,
            headers=forwarded(request.headers),
            data=await request.read(),
        ) as response:
            body = await response.read()
            headers = forwarded(response.headers)
            return web.Response(status=response.status, headers=headers, body=body)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, port).start()

    async def close():
        await runner.cleanup()
        await session.close()

    return close


async def main(port: int, target: str) -> None:
    """Run the relay until the process is terminated."""
    await start_relay("127.0.0.1", port, target)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), sys.argv[2]))
