"""Text output of ``damask-node status``."""

__all__ = ["format_status"]

MAX_MEMBERS_SHOWN = 50


def format_status(status: dict) -> str:
    """Format the status object of a node as text."""
    lines = [
        f"node       {status['node_id']} incarnation {status['incarnation']}",
        f"location   {status['region']} / {status['data_centre']}",
        f"state      {status['state']}" + _format_hold(status),
        f"backend    {_format_backend(status)}",
        f"calls      {status['in_flight']} in flight, {status['queued']} queued,"
        f" limit {status['limit']}, level {status['level']}",
        f"ledger     {status['ledger_entries']} entries",
        "sections   " + (_format_sections(status) or "none"),
        "members    " + _format_counts(status["members"]),
    ]
    lines += _format_members(status["members"])
    return "\n".join(lines)


def _format_hold(status: dict) -> str:
    return f" (held: {status['hold']})" if status.get("hold") else ""


def _format_backend(status: dict) -> str:
    if not status["service"]:
        return "none announced"
    return f"{status['service']} at {status['backend']}, {status['slots']} slots"


def _format_sections(status: dict) -> str:
    versions = sorted(status["sections"].items())
    return ", ".join(f"{name} v{version}" for name, version in versions)


def _format_counts(members: list[dict]) -> str:
    counts: dict[str, int] = {}
    for member in members:
        counts[member["state"]] = counts.get(member["state"], 0) + 1
    parts = [f"{count} {state}" for state, count in sorted(counts.items())]
    return f"{len(members)} ({', '.join(parts)})"


def _format_members(members: list[dict]) -> list[str]:
    shown = sorted(members, key=lambda m: (m["service"], m["node_id"]))
    lines = [
        f"  {m['node_id']:<24} {m['data_centre']:<16} {m['service'] or '-':<16}"
        f" {m['state']:<9} {m['peer']}"
        for m in shown[:MAX_MEMBERS_SHOWN]
    ]
    if len(members) > MAX_MEMBERS_SHOWN:
        lines.append(f"  and {len(members) - MAX_MEMBERS_SHOWN} more")
    return lines
