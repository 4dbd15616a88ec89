"""What `Simulation` checks after every step."""

from __future__ import annotations

from collections.abc import Iterable

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import Configuration
from shedsill.testing.parts import Attempt, FakeUpstream, OracleError, ProcessFake, Run


def check_slots(upstreams: Iterable[FakeUpstream]) -> None:
    """Demand that no upstream works on more requests than its slots."""
    for upstream in upstreams:
        busy = len(upstream.list_running())
        if busy > upstream.slots:
            raise OracleError(f"{upstream.name} works on {busy} requests")


def check_runs(upstreams: Iterable[FakeUpstream], attempts: Iterable[Attempt]) -> None:
    """Demand that no claim ran twice, and none that was refused."""
    runs: dict[str, list[Run]] = {}
    for upstream in upstreams:
        for run in upstream.journal:
            if run.attempt.path == "/claim" and not run.shed:
                runs.setdefault(run.attempt.work, []).append(run)
    for work, found in runs.items():
        if len(found) > 1:
            raise OracleError(f"{work} ran {len(found)} times")
    for attempt in attempts:
        if attempt.outcome == RequestOutcome.NOT_RUN and attempt.path == "/claim":
            _check_refusal(attempt, runs.get(attempt.work, []))


def _check_refusal(attempt: Attempt, runs: list[Run]) -> None:
    for run in runs:
        same_key = run.attempt.key == attempt.key
        if same_key or run.attempt.sent <= attempt.answered:
            raise OracleError(f"{attempt.work} was refused, yet ran")


def check_accepted(
    processes: Iterable[ProcessFake], accepted: dict[int, Configuration]
) -> None:
    """Demand that a generation has one content, wherever it is in force."""
    for process in processes:
        configuration = process.state.node.configuration
        known = accepted.setdefault(configuration.generation, configuration)
        if known != configuration:
            raise OracleError(f"generation {configuration.generation} exists twice")
