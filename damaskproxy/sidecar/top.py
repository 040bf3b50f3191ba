"""Text output of ``damask-node top``."""

from typing import Any

__all__ = ["format_top"]

REASONS_SHOWN = 6
"""Counts that fit into a line of a terminal."""
ORGANISATIONS_SHOWN = 10
"""Organisations that fit on a terminal of 24 lines below the other lines."""
ORGANISATION_COLUMNS = "{:<20} {:>8} {:>6} {:>8} {:<24} {:>8} {:>7} {:>7} {:>13}"


def format_top(now: dict[str, Any], before: dict[str, Any] | None = None) -> str:
    """Format the status object of a sidecar as text.

    Parameters
    ----------
    now : dict
        Current status object.
    before : dict, optional
        Earlier status object of the same node, to compute rates.
    """
    lines = [
        f"node      {now['node_id']} in {now['data_centre']},"
        f" up {now['uptime_s']:.0f} s, {_state(now)}",
        f"config    version {now['configuration_version']}"
        + (", store unavailable" if now["is_store_dark"] else ""),
        f"store     {_store(now)}",
        f"backend   {_backend(now['backend'])}",
        f"load      {_load(now)}",
        f"held      {now['held_bytes']} bytes, {now['connections']} connections,"
        f" {now['links']} links",
        f"members   {_members(now['members'])}",
    ]
    for title, name in (
        ("requests", "requests"),
        ("refused", "refusals"),
        ("repeated", "repeats"),
        ("not run", "calls_refused"),
    ):
        lines.append(f"{title:<9} {_counts(now, before, name)}")
    if "organisations" in now:
        lines += _organisations(now)
    return "\n".join(lines)


def _state(now: dict[str, Any]) -> str:
    if now["is_stopping"]:
        return "stopping"
    return "ready" if now["is_ready"] else "not ready"


def _store(now: dict[str, Any]) -> str:
    era, restores = now["store_era"], now["store_restores"]
    text = f"era {era}" if era >= 0 else "no response yet"
    if restores:
        text += f", {restores} times restored from an older copy"
    text = f"{text}, in touch {now['store_age_s']:.1f} s ago"
    contact = now.get("store_contact")
    return f"{text} by {contact}" if contact else text


def _backend(backend: dict[str, Any] | None) -> str:
    if backend is None:
        return "none has reported"
    state = backend.get("state", "serving")
    service, slots = backend["service"], backend["slots"]
    return f"{service} {backend['instance_id']}, {slots} slots, {state}"


def _load(now: dict[str, Any]) -> str:
    load = now["load"]
    if load is None:
        return "-"
    return (
        f"{load['in_flight']} in flight, {load['queued']} queued,"
        f" limit {load['limit']:.0f}, level {load['level']},"
        f" typical latency {load['latency_ms']:.0f} ms"
    )


def _members(members: list[dict[str, str]]) -> str:
    counts: dict[str, int] = {}
    for member in members:
        if member["state"] == "serving":
            counts[member["service"]] = counts.get(member["service"], 0) + 1
    parts = [f"{service} {count}" for service, count in sorted(counts.items())]
    return f"{len(members)} known; serving: {', '.join(parts) or 'none'}"


def _counts(now: dict[str, Any], before: dict[str, Any] | None, name: str) -> str:
    """Format the largest counts, with rates when there is an earlier status object."""
    elapsed_s = now["uptime_s"] - before["uptime_s"] if before else 0.0
    counts = sorted(now[name].items(), key=lambda item: (-item[1], item[0]))
    parts = []
    for key, count in counts[:REASONS_SHOWN]:
        text = f"{key}: {count}"
        if elapsed_s > 0:
            text += f" ({(count - before[name].get(key, 0)) / elapsed_s:.1f}/s)"
        parts.append(text)
    if len(counts) > REASONS_SHOWN:
        parts.append(f"and {len(counts) - REASONS_SHOWN} more")
    return ", ".join(parts) or "none"


def _organisations(now: dict[str, Any]) -> list[str]:
    """Format the organisations that have spent most, one per line."""
    shown = now["organisations"][:ORGANISATIONS_SHOWN]
    counts = ("admitted", "429", "503", "calls refused")
    lines = [
        f"organisations {now['organisation_count']}, most spent at this node first",
        ORGANISATION_COLUMNS.format(
            "name", "limit", "burst", "spent", "state", *counts
        ),
    ]
    lines += [
        ORGANISATION_COLUMNS.format(
            each["name"],
            f"{each['rate_per_s']:g}/s" if each["rate_per_s"] else "none",
            f"{each['burst']:g}" if each["rate_per_s"] else "-",
            each["spent"],
            _allowance_state(each),
            *_organisation_counts(each),
        )
        for each in shown
    ]
    left = now["organisation_count"] - len(shown)
    return [*lines, f"and {left} more"] if left else lines


def _organisation_counts(organisation: dict[str, Any]) -> tuple[int | str, ...]:
    """Return the counts, dashes if they are not kept for the organisation."""
    if organisation["admitted"] is None:
        return ("-",) * 4
    over, refused = organisation["refused_429"], organisation["refused"]
    others = sum(refused.values()) - over
    return organisation["admitted"], over, others, organisation["calls_refused"]


def _allowance_state(organisation: dict[str, Any]) -> str:
    if not organisation["rate_per_s"]:
        return "-"
    if not organisation["owner"]:
        return "own share, no owner"
    state = "limited by" if organisation["is_limited"] else "open, owner"
    return f"{state} {organisation['owner']}"
