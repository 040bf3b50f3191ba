"""Development stand-in for the platform's object store."""

from dataclasses import dataclass

import msgspec
from aiohttp import web

from damaskproxy.standins.faults import Faults, add_fault_routes, run_write
from damaskproxy.standins.serving import RunningSite, start_site

__all__ = ["ObjectCounts", "RunningObjects", "start_objects"]

MAX_OBJECT_BYTES = 64 * 1024 * 1024


class ObjectCounts(msgspec.Struct):
    """Numbers of requests since the start, without refused ones."""

    gets: int = 0
    puts: int = 0


@dataclass(slots=True)
class RunningObjects(RunningSite):
    """An object store that runs in this process.

    Parameters
    ----------
    address, faults, runner
        See `RunningSite`.
    objects : dict of str to bytes
        Stored objects by name.
    counts : ObjectCounts
        Request counters.
    """

    objects: dict[str, bytes]
    counts: ObjectCounts


def make_objects_app(
    objects: dict[str, bytes], counts: ObjectCounts, faults: Faults
) -> web.Application:
    """Return the application that serves `objects`."""

    async def get(request):
        counts.gets += 1
        value = objects.get(request.match_info["name"])
        if value is None:
            return web.Response(status=404)
        return web.Response(body=value, content_type="application/octet-stream")

    async def put(request):
        value = await request.read()

        async def apply():
            counts.puts += 1
            objects[request.match_info["name"]] = value
            return web.Response(status=204)

        return await run_write(request, faults, apply)

    async def show_counts(_request):
        return web.json_response(body=msgspec.json.encode(counts))

    app = web.Application(client_max_size=MAX_OBJECT_BYTES)
    add_fault_routes(app, faults)
    app.router.add_get("/objects/{name:.+}", get)
    app.router.add_put("/objects/{name:.+}", put)
    app.router.add_get("/counts", show_counts)
    return app


async def start_objects(host: str = "127.0.0.1", port: int = 0) -> RunningObjects:
    """Start an object store in the running event loop.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port, 0 for a free one.

    Returns
    -------
    RunningObjects
        The store; the caller closes it.
    """
    objects: dict[str, bytes] = {}
    counts = ObjectCounts()
    faults = Faults()
    app = make_objects_app(objects, counts, faults)
    runner, address = await start_site(app, host, port)
    return RunningObjects(address, faults, runner, objects, counts)
