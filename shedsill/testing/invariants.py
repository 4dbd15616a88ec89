"""What `Simulation` checks after every step."""

from __future__ import annotations

from collections.abc import Iterable

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import Configuration
from shedsill.testing.simulation_parts import (
    Attempt,
    FakeProcess,
    FakeUpstream,
    InvariantError,
    UpstreamRun,
)


def check_slot_limits(upstreams: Iterable[FakeUpstream]) -> None:
    """Demand that no upstream works on more requests than its slots."""
    for upstream in upstreams:
        busy = len(upstream.list_running())
        if busy > upstream.slots:
            raise InvariantError(f"{upstream.name} works on {busy} requests")


def check_claim_runs(
    upstreams: Iterable[FakeUpstream], attempts: Iterable[Attempt]
) -> None:
    """Demand that no claim ran twice, and none that was refused."""
    runs: dict[str, list[UpstreamRun]] = {}
    for upstream in upstreams:
        for run in upstream.journal:
            if run.attempt.path == "/claim" and not run.shed:
                runs.setdefault(run.attempt.job, []).append(run)
    for job, job_runs in runs.items():
        if len(job_runs) > 1:
            raise InvariantError(f"{job} ran {len(job_runs)} times")
    for attempt in attempts:
        if attempt.outcome == RequestOutcome.NOT_RUN and attempt.path == "/claim":
            _check_refused_attempt(attempt, runs.get(attempt.job, []))


def _check_refused_attempt(attempt: Attempt, runs: list[UpstreamRun]) -> None:
    for run in runs:
        same_key = run.attempt.key == attempt.key
        if same_key or run.attempt.sent_position <= attempt.answered_position:
            raise InvariantError(f"{attempt.job} was refused, yet ran")


def check_generations(
    processes: Iterable[FakeProcess], accepted: dict[int, Configuration]
) -> None:
    """Demand that a generation has one content, wherever it is in force."""
    for process in processes:
        configuration = process.state.node.configuration
        known = accepted.setdefault(configuration.generation, configuration)
        if known != configuration:
            raise InvariantError(f"generation {configuration.generation} exists twice")
