"""What ``damask-node status`` prints."""

__all__ = ["format_status"]

MAX_MEMBERS_SHOWN = 50


def format_status(known: dict) -> str:
    """Return the status object of a node as text for a person."""
    lines = [
        f"node       {known['node_id']} incarnation {known['incarnation']}",
        f"location   {known['region']} / {known['data_centre']}",
        f"state      {known['state']}" + _hold(known),
        f"backend    {_backend(known)}",
        f"calls      {known['in_flight']} in flight, {known['queued']} queued,"
        f" limit {known['limit']}, level {known['level']}",
        f"ledger     {known['ledger_entries']} entries",
        "sections   " + (_sections(known) or "none"),
        "members    " + _counts(known["members"]),
    ]
    lines += _members(known["members"])
    return "\n".join(lines)


def _hold(known: dict) -> str:
    return f" (held: {known['hold']})" if known.get("hold") else ""


def _backend(known: dict) -> str:
    if not known["service"]:
        return "none announced"
    return f"{known['service']} at {known['backend']}, {known['slots']} slots"


def _sections(known: dict) -> str:
    versions = sorted(known["sections"].items())
    return ", ".join(f"{name} v{version}" for name, version in versions)


def _counts(members: list[dict]) -> str:
    counts: dict[str, int] = {}
    for member in members:
        counts[member["state"]] = counts.get(member["state"], 0) + 1
    parts = [f"{count} {state}" for state, count in sorted(counts.items())]
    return f"{len(members)} ({', '.join(parts)})"


def _members(members: list[dict]) -> list[str]:
    shown = sorted(members, key=lambda m: (m["service"], m["node_id"]))
    lines = [
        f"  {m['node_id']:<24} {m['data_centre']:<16} {m['service'] or '-':<16}"
        f" {m['state']:<9} {m['peer']}"
        for m in shown[:MAX_MEMBERS_SHOWN]
    ]
    if len(members) > MAX_MEMBERS_SHOWN:
        lines.append(f"  and {len(members) - MAX_MEMBERS_SHOWN} more")
    return lines
