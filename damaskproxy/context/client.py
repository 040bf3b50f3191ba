"""HTTP client for outbound calls through the node."""

from collections.abc import Mapping

import aiohttp

from damaskproxy.context.request import current_request

__all__ = ["OutboundClient"]

# Time after the deadline in which the node can still send its own refusal.
DEADLINE_GRACE_S = 0.25


class OutboundClient:
    """Calls other services through the node on this VM.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the backend server, which is responsible for closing it.
    base_url : str
        URL of the node's ``backend`` listener.

    Notes
    -----
    The node looks up the priority, the retry tokens and the shedding ordinal by the
    attempt id; the client only sends this id.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    def request(
        self,
        method: str,
        service: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        data: bytes | None = None,
    ):
        """Return the request context manager of aiohttp for a call of `service`.

        Parameters
        ----------
        method : str
            HTTP method.
        service : str
            Name of the service.
        path : str
            Path within the service, with a leading slash.
        headers : mapping, optional
            Additional headers, such as ``Idempotency-Key``.
        data : bytes, optional
            Request body.

        Raises
        ------
        ValueError
            If `path` does not start with a slash.
        """
        if not path.startswith("/"):
            raise ValueError(f"path must start with a slash: {path!r}")
        context = current_request()
        sent = dict(headers or {})
        total_s = None
        if context is not None:
            sent.update(context.outbound_headers())
            remaining_ms = context.remaining_ms()
            if remaining_ms is not None:
                sent["Damask-Deadline-Ms"] = str(remaining_ms)
                total_s = remaining_ms / 1000 + DEADLINE_GRACE_S
        return self._session.request(
            method,
            f"{self._base_url}/{service}{path}",
            headers=sent,
            data=data,
            timeout=aiohttp.ClientTimeout(total=total_s),
        )
