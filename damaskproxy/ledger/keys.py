"""Idempotency keys issued by nodes."""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.ledger.settings import LedgerSettings

__all__ = ["KEY_PREFIX", "IssuedKey", "KeyRing"]

KEY_PREFIX = "dk1."
KEY_MAX_CHARS = 255
MAC_CHARS = 32
NUMBER_FIELDS = 3


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A verified key.

    Parameters
    ----------
    node_id, incarnation : str, int
        Node that issued the key; its ledger holds the record of the key.
    serial : int
        Sequence number of the key within the incarnation.
    expiry_s : int
        Unix time after which the key is refused.
    text : str
        The key as callers send it.
    """

    node_id: str
    incarnation: int
    serial: int
    expiry_s: int
    text: str

    @property
    def issuer(self) -> tuple[str, int]:
        """Node and incarnation, which identify the ledger."""
        return (self.node_id, self.incarnation)


class KeyRing:
    """Issues and verifies keys; the serial counter is its only state.

    Parameters
    ----------
    node_id, incarnation : str, int
        This node.
    secrets : sequence of bytes
        Mesh secrets. Keys are signed with the first and verified against all, so that
        a secret can be rotated while keys signed with the old one are in use.
    wall_s : callable
        Returns the Unix time in seconds.
    settings : LedgerSettings
        Lifetime of keys.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        secrets: Sequence[bytes],
        *,
        wall_s: Callable[[], float],
        settings: LedgerSettings | None = None,
    ):
        if not secrets or not all(secrets):
            raise ValueError("a key ring needs at least one secret, none of them empty")
        self._node_id = node_id
        self._incarnation = incarnation
        self._secrets = tuple(secrets)
        self._wall_s = wall_s
        self._lifetime_s = (settings or LedgerSettings()).key_lifetime_ms // 1000
        self._serial = 0

    def issue(self, count: int) -> list[str]:
        """Return `count` new keys."""
        return [self.issue_key().text for _ in range(count)]

    def issue_key(self) -> IssuedKey:
        """Return a new key in its parsed form."""
        self._serial += 1
        issuer = (self._node_id, self._incarnation)
        expiry_s = int(self._wall_s()) + self._lifetime_s
        text = self.format_key(issuer, self._serial, expiry_s)
        return IssuedKey(*issuer, self._serial, expiry_s, text)

    def format_key(self, issuer: tuple[str, int], serial: int, expiry_s: int) -> str:
        """Return the signed text of a key, which records need not store therefore."""
        node_id, incarnation = issuer
        signed = f"{KEY_PREFIX}{node_id}.{incarnation}.{serial}.{expiry_s}"
        return f"{signed}.{_mac(self._secrets[0], signed)}"

    def parse(self, key: str) -> IssuedKey | Refusal:
        """Verify `key`.

        Returns
        -------
        IssuedKey or Refusal
            ``key-invalid`` has the outcome not-run if no node can have accepted the
            text as an issued key, and unknown otherwise. The outcome of
            ``key-expired`` is always unknown.
        """
        issued = self.parse_ignoring_expiry(key)
        if isinstance(issued, IssuedKey) and issued.expiry_s <= self._wall_s():
            return Refusal(
                RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN, detail="the key has expired"
            )
        return issued

    def parse_ignoring_expiry(self, key: str) -> IssuedKey | Refusal:
        """Verify the form and the signature of `key`, but not its expiry."""
        parsed = _split(key)
        if parsed is None:
            return _invalid(
                Outcome.NOT_RUN, "the key has not the form of an issued key"
            )
        signed, mac, issued = parsed
        if not any(
            hmac.compare_digest(_mac(secret, signed), mac) for secret in self._secrets
        ):
            # A node that still uses a replaced secret may have accepted the key.
            return _invalid(Outcome.UNKNOWN, "the signature of the key is wrong")
        return issued


def _split(key: str) -> tuple[str, str, IssuedKey] | None:
    if not key.startswith(KEY_PREFIX) or len(key) > KEY_MAX_CHARS or not key.isascii():
        return None
    signed, _, mac = key.rpartition(".")
    # Node ids may contain dots, so the numbers are taken from the right.
    node_id, *numbers = signed.removeprefix(KEY_PREFIX).rsplit(".", NUMBER_FIELDS)
    if not node_id or len(numbers) != NUMBER_FIELDS or len(mac) != MAC_CHARS:
        return None
    if not all(number.isdigit() for number in numbers):
        return None
    incarnation, serial, expiry_s = map(int, numbers)
    return signed, mac, IssuedKey(node_id, incarnation, serial, expiry_s, key)


def _mac(secret: bytes, signed: str) -> str:
    digest = hmac.new(secret, signed.encode(), hashlib.sha256).hexdigest()
    return digest[:MAC_CHARS]


def _invalid(outcome: Outcome, detail: str) -> Refusal:
    return Refusal(RefusalReason.KEY_INVALID, outcome, detail=detail)
