"""Client wrapper for outbound calls through the node."""

from collections.abc import Mapping

import aiohttp

from damaskproxy.context.request import current_request

__all__ = ["OutboundClient"]

# Time beyond the deadline that the node gets to answer with a refusal of its own.
DEADLINE_GRACE_S = 0.25


class OutboundClient:
    """Calls other services through the node of this VM.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the backend server; it stays open.
    base_url : str
        URL of the node's ``backend`` listener.

    Notes
    -----
    Priority, retry tokens and the shedding ordinal of the root request belong to the
    attempt and are looked up by the node; the wrapper only names the attempt.
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
        """Return a request context manager of aiohttp for a call of `service`.

        Parameters
        ----------
        method : str
            HTTP method.
        service : str
            Name of the service.
        path : str
            Path below the service, with its leading slash.
        headers : mapping, optional
            Further headers, such as ``Idempotency-Key``.
        data : bytes, optional
            Body.

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
