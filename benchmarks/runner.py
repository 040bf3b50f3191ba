"""Run one scenario on virtual time."""

from benchmarks.callers import run_callers
from benchmarks.mesh import MeshSettings
from benchmarks.results import measure
from benchmarks.scenarios import SCENARIOS, Scenario
from benchmarks.virtual import run_virtual

__all__ = ["run_scenario"]


def run_scenario(
    name: str, seed: int, policy: str, settings: MeshSettings | None = None
) -> dict:
    """Return the figures of one scenario.

    Parameters
    ----------
    name : str
        Name in `SCENARIOS`.
    seed : int
        Seed of the demand and of all random decisions.
    policy : {"damask", "baseline"}
        Overload policy that handles the calls.
    settings : MeshSettings, optional
        Settings of the overload control; the defaults if None.
    """
    scenario = SCENARIOS[name]
    result = _run(scenario, seed, policy, settings or MeshSettings())
    if scenario.compare is not None:
        control = _run(scenario.compare(scenario), seed, policy, MeshSettings())
        result["undisturbed_p99_ms"] = control["p99_ms"]
        result["undisturbed_short_p99_ms"] = control["short_p99_ms"]
        result["p99_factor"] = _factor(result, control, "p99_ms")
        result["short_p99_factor"] = _factor(result, control, "short_p99_ms")
    return result


def _run(scenario: Scenario, seed: int, policy: str, settings: MeshSettings) -> dict:
    async def main(now_s):
        return await run_callers(scenario, seed, policy, settings)

    mesh, requests = run_virtual(main)
    return measure(scenario, seed, policy, mesh.reasons, requests)


def _factor(result: dict, control: dict, name: str) -> float | None:
    if not result[name] or not control[name]:
        return None
    return round(result[name] / control[name], 3)
