"""Organisations, keys and credentials of a soak of processes, and what must hold."""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from damaskproxy.http1 import Request
from damaskproxy.sidecar.tests.soak_allowances import (
    EXERCISED_ALLOWANCES,
    LIMITED_ORGANISATIONS,
)

__all__ = [
    "EXERCISED",
    "KEY_PREFIX",
    "PRIVATE_PREFIX",
    "Credential",
    "Key",
    "KeyBook",
    "Observation",
    "names_in",
    "observation_faults",
]

ORGANISATIONS = {
    "guild": {"priority": 0},
    "market": {"priority": 1},
    "harbour": {"priority": 1},
    **LIMITED_ORGANISATIONS,
}
"""Organisations of all configurations of a run, without their keys."""
CHANGING_ORGANISATIONS = ("guild", "harbour")
"""Organisations whose keys are added and removed; "harbour" has at times none."""
PERMANENT_ORGANISATIONS = ("guild", "market")
KEY_PREFIX = "soak-key-"
TENANT = b"X-Damaskproxy-Tenant"
FORGED_NAMES = (b"forged", b"guild")
PRIVATE_PREFIX = "own-"
"""Start of the names of the routes that need a key; the others are public."""
REMOVED_S = 2.0
"""Time after which all nodes refuse a removed key, if all are reachable."""
RECENT_KEYS = 4
"""Removed keys that callers still use."""
KINDS = (
    ("permanent", 10),
    ("added", 4),
    ("removed", 3),
    ("unknown", 2),
    ("none", 6),
)
"""Kinds of credentials and their weights, so that most requests run."""


@dataclass(slots=True)
class Key:
    """API key of an organisation.

    Parameters
    ----------
    text : str
        The key.
    organisation : str
        Organisation that holds it, empty if no configuration ever has it.
    is_permanent : bool
        Whether all configurations of the run have it.
    removed_s : float
        Time after which no configuration in the store has it.
    """

    text: str
    organisation: str
    is_permanent: bool = False
    removed_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class Credential:
    """What a request says about its organisation.

    Parameters
    ----------
    kind : str
        One of `KINDS`.
    key : Key or None
        Its key.
    is_public : bool
        Whether its route needs no key.
    forged_name : bytes
        Name in the header that only nodes may set, empty without this header.
    """

    kind: str
    key: Key | None
    is_public: bool
    forged_name: bytes = b""

    @property
    def head(self) -> bytes:
        """Header lines of the request."""
        lines = b""
        if self.key is not None:
            lines += b"Authorization: Bearer %s\r\n" % self.key.text.encode()
        if self.forged_name:
            lines += b"%s: %s\r\n" % (TENANT, self.forged_name)
        return lines


@dataclass(slots=True)
class KeyBook:
    """Keys of a run, and when they were removed."""

    rng: random.Random
    permanent: list[Key] = field(init=False)
    added: list[Key] = field(init=False)
    limited: list[Key] = field(init=False)
    removed: list[Key] = field(default_factory=list)
    _count: int = 0

    def __post_init__(self):
        self.permanent = [
            self._new_key(name, is_permanent=True) for name in PERMANENT_ORGANISATIONS
        ]
        self.added = [self._new_key(name) for name in CHANGING_ORGANISATIONS]
        self.limited = [
            self._new_key(name, is_permanent=True) for name in LIMITED_ORGANISATIONS
        ]

    def tenants(self) -> dict:
        """Return the organisations for the next configuration."""
        keys = {name: [] for name in ORGANISATIONS}
        for key in (*self.permanent, *self.added, *self.limited):
            keys[key.organisation].append(key.text)
        return {
            name: {**body, "apiKeys": keys[name]}
            for name, body in ORGANISATIONS.items()
        }

    def change(self, put: Callable[[], None]) -> None:
        """Remove the oldest key or add another one, and store the configuration."""
        removed = None
        if len(self.added) > 1 and self.rng.random() < 0.7:
            removed = self.added.pop(0)
        else:
            self.added.append(self._new_key(self.rng.choice(CHANGING_ORGANISATIONS)))
        put()
        if removed is not None:
            removed.removed_s = time.monotonic()
            self.removed.append(removed)

    def choose(self, rng: random.Random) -> Credential:
        """Return the credential of the next request."""
        names, weights = zip(*KINDS)
        kind = rng.choices(names, weights)[0]
        if kind == "removed" and not self.removed:
            kind = "unknown"
        if kind == "added" and not self.added:
            kind = "permanent"
        forged_name = rng.choice(FORGED_NAMES) if rng.random() < 0.2 else b""
        # Most requests without a key are sent to the routes that need none.
        is_public = rng.random() < (0.8 if kind == "none" else 0.3)
        return Credential(kind, self._key(kind, rng), is_public, forged_name)

    def is_late(self, key: Key | None, sent_s: float, lag_s: float) -> bool:
        """Tell whether all nodes must refuse a key in a request sent at a time."""
        return key is not None and sent_s > key.removed_s + REMOVED_S + lag_s

    def _key(self, kind: str, rng: random.Random) -> Key | None:
        if kind == "none":
            return None
        if kind == "unknown":
            return Key(f"{KEY_PREFIX}unknown-{rng.randrange(1 << 30)}", "")
        if kind == "removed":
            return rng.choice(self.removed[-RECENT_KEYS:])
        return rng.choice(self.permanent if kind == "permanent" else self.added)

    def _new_key(self, organisation: str, *, is_permanent: bool = False) -> Key:
        self._count += 1
        text = f"{KEY_PREFIX}{self._count}-{self.rng.randrange(1 << 30)}"
        return Key(text, organisation, is_permanent)


@dataclass(frozen=True, slots=True)
class Observation:
    """One request, and what its caller and the servers saw of it.

    Parameters
    ----------
    credential : Credential
        What the request said.
    is_late : bool
        Whether its key had been removed for so long that all nodes refuse it.
    status : int or None
        Status that the caller got.
    runs : list of Request
        What backend servers received.
    """

    credential: Credential
    is_late: bool
    status: int | None
    runs: list[Request]

    @property
    def permitted_names(self) -> set[bytes | None]:
        """Organisations that a run may have, None for none; empty to forbid runs."""
        key = self.credential.key
        names: set[bytes | None] = set()
        if key is not None and key.organisation and not self.is_late:
            names.add(key.organisation.encode())
        if self.credential.is_public and (key is None or not key.is_permanent):
            # The key may be unknown to the node, before it is in force or afterwards.
            names.add(None)
        return names

    def count(self, counts: Counter[str]) -> None:
        """Count what the checks could have shown of this request."""
        credential, has_run = self.credential, bool(self.runs)
        if credential.is_public:
            counts["public, ran"] += has_run
        elif self.status is not None:
            counts[f"{credential.kind} key, status {self.status}"] += 1
            counts["key removed long ago"] += self.is_late
        counts["ran for an organisation"] += any(map(names_in, self.runs))
        counts["forged name, ran"] += has_run and bool(credential.forged_name)


EXERCISED = (
    "public, ran",
    "ran for an organisation",
    "forged name, ran",
    "key removed long ago",
    "permanent key, status 200",
    "added key, status 200",
    "removed key, status 401",
    "unknown key, status 401",
    "none key, status 401",
    *EXERCISED_ALLOWANCES,
)
"""Counters that every run must raise, or its checks have shown nothing."""


def observation_faults(observation: Observation) -> list[str]:
    """Return what is against the rules of organisations."""
    return [fault for check in CHECKS for fault in check(observation)]


def names_in(run: Request) -> list[bytes]:
    """Return the names of organisations that a server saw in a request."""
    lower = TENANT.lower()
    return [value for name, value in run.headers if name.lower() == lower]


def _check_keys_are_not_seen(seen: Observation) -> list[str]:
    """Return a fault if a server saw a key, in whatever field."""
    prefix = KEY_PREFIX.encode()
    for run in seen.runs:
        if run.header(b"authorization") is not None:
            return ["a server saw an Authorization header"]
        fields = [part for header in run.headers for part in header]
        if any(prefix in part for part in (*fields, run.target, run.body)):
            return ["a server saw a key"]
    return []


def _check_names(seen: Observation) -> list[str]:
    """Return the runs whose server did not see just the name that the key has."""
    permitted = seen.permitted_names
    found = [names_in(run) for run in seen.runs] if permitted else []
    return [
        f"{seen.credential.kind} key, ran for {names}"
        for names in found
        if len(names) > 1 or (names[0] if names else None) not in permitted
    ]


def _check_refused(seen: Observation) -> list[str]:
    """Return a fault if a request ran whose key no configuration has."""
    if seen.permitted_names or not seen.runs:
        return []
    when = f", {REMOVED_S:g} s after its removal" if seen.is_late else ""
    return [f"{seen.credential.kind} key ran {len(seen.runs)} times{when}"]


def _check_401(seen: Observation) -> list[str]:
    """Return a fault if a request got 401 that has a valid key or has run."""
    if seen.status != 401:
        return []
    if seen.runs:
        return [f"401 and ran {len(seen.runs)} times"]
    credential = seen.credential
    if credential.is_public or (credential.key and credential.key.is_permanent):
        return [f"401 with a {credential.kind} key, public: {credential.is_public}"]
    return []


CHECKS = (_check_keys_are_not_seen, _check_names, _check_refused, _check_401)
"""Checks of each request. `soak_allowances.allowance_faults` looks at all of them."""
