"""Status and Prometheus metrics of organisations, if the configuration has any."""

import heapq
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from damaskproxy.allowances import OrganisationState
from damaskproxy.forwarding.calls import NotRunReason
from damaskproxy.forwarding.organisation_stats import (
    NAMES_MAX,
    OTHER_ORGANISATIONS,
    OrganisationStats,
)
from damaskproxy.organisations import Organisation, Organisations

if TYPE_CHECKING:
    from damaskproxy.sidecar.sidecar import Sidecar

__all__ = ["collect_organisations", "describe_organisations"]


def describe_organisations(sidecar: "Sidecar") -> dict[str, Any]:
    """Return the part of the status object about organisations, empty without any."""
    organisations = _organisations(sidecar)
    if organisations is None:
        return {}
    stats = sidecar.stats.organisations
    states = {state.name: state for state in sidecar.allowances.describe()}

    def order(organisation: Organisation) -> tuple:
        state = states.get(organisation.name)
        name = organisation.name
        return (-(state.spent if state else 0), -stats.admitted[name], name)

    refused = _refused_by_name(stats)
    shown = heapq.nsmallest(NAMES_MAX, organisations, key=order)
    return {
        "organisation_count": len(organisations),
        "organisations": [
            _describe(each, states.get(each.name), stats, refused.get(each.name, {}))
            for each in shown
        ],
    }


def _organisations(sidecar: "Sidecar") -> Organisations | None:
    configuration = sidecar.configuration.current
    return None if configuration is None else configuration.organisations


def _refused_by_name(stats: OrganisationStats) -> dict[str, dict[str, int]]:
    refused: dict[str, dict[str, int]] = {}
    for (name, reason), count in stats.refused.items():
        refused.setdefault(name, {})[str(reason)] = count
    return refused


def _describe(
    organisation: Organisation,
    state: OrganisationState | None,
    stats: OrganisationStats,
    refused: dict[str, int],
) -> dict[str, Any]:
    name = organisation.name
    if name in stats.names or len(stats.names) < NAMES_MAX:
        counts = {
            "admitted": stats.admitted[name],
            "refused_429": refused.get(NotRunReason.ALLOWANCE, 0),
            "refused": refused,
            "calls_refused": stats.calls_refused[name],
        }
    else:
        # Its requests are counted with those of the others.
        counts = dict.fromkeys(("admitted", "refused_429", "refused", "calls_refused"))
    return {
        "name": name,
        "priority": organisation.priority,
        "rate_per_s": organisation.rate_per_s,
        "burst": organisation.burst,
        "spent": state.spent if state else 0,
        "is_limited": state.is_limited if state else False,
        "owner": state.owner if state else "",
        **counts,
    }


def collect_organisations(sidecar: "Sidecar") -> Iterator:
    """Yield the metric families by organisation, none without organisations."""
    if _organisations(sidecar) is None:
        return
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    stats = sidecar.stats.organisations
    for name, text, counts in (
        ("admitted", "Requests sent to a server", stats.admitted),
        ("calls_refused", "Calls not run here", stats.calls_refused),
    ):
        family = CounterMetricFamily(
            f"damask_organisation_{name}", text, labels=["organisation"]
        )
        for organisation, count in counts.items():
            family.add_metric([organisation], count)
        yield family
    refused = CounterMetricFamily(
        "damask_organisation_refused",
        "Requests answered as not run",
        labels=["organisation", "reason"],
    )
    for (organisation, reason), count in stats.refused.items():
        refused.add_metric([organisation, str(reason)], count)
    yield refused
    limited = GaugeMetricFamily(
        "damask_organisation_limited",
        "Whether the owner is asked for each request; for the others how many are",
        labels=["organisation"],
    )
    for organisation, count in _limited_counts(sidecar).items():
        limited.add_metric([organisation], count)
    yield limited


def _limited_counts(sidecar: "Sidecar") -> Counter[str]:
    names = sidecar.stats.organisations.names
    counts: Counter[str] = Counter()
    for state in sidecar.allowances.describe():
        label = state.name if state.name in names else OTHER_ORGANISATIONS
        counts[label] += state.is_limited
    return counts
