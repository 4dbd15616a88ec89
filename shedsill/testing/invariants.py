"""Invariants that the HTTP/3 simulation checks after every step."""

from __future__ import annotations

from collections.abc import Iterable

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import Configuration
from shedsill.testing.simulation_parts import (
    Attempt,
    FakeProcess,
    FakeUpstream,
    UpstreamRun,
    ViolationError,
)


def check_slot_limits(upstreams: Iterable[FakeUpstream]) -> None:
    """Raise if an upstream runs more requests than it has slots."""
    for upstream in upstreams:
        busy = len(upstream.list_running())
        if busy > upstream.slots:
            raise ViolationError(
                f"{upstream.name} runs {busy} requests, more than its slots"
            )


def check_claim_runs(
    upstreams: Iterable[FakeUpstream], attempts: Iterable[Attempt]
) -> None:
    """Raise if a claim ran twice, or ran although it was refused."""
    runs: dict[str, list[UpstreamRun]] = {}
    for upstream in upstreams:
        for run in upstream.journal:
            if run.attempt.path == "/claim" and not run.shed:
                runs.setdefault(run.attempt.job, []).append(run)
    for job, job_runs in runs.items():
        if len(job_runs) > 1:
            raise ViolationError(f"{job} ran {len(job_runs)} times")
    for attempt in attempts:
        if attempt.outcome == RequestOutcome.NOT_RUN and attempt.path == "/claim":
            _check_refused_attempt(attempt, runs.get(attempt.job, []))


def _check_refused_attempt(attempt: Attempt, runs: list[UpstreamRun]) -> None:
    for run in runs:
        same_key = run.attempt.key == attempt.key
        if same_key or run.attempt.sent_position <= attempt.answered_position:
            raise ViolationError(f"{attempt.job} ran although it was refused")


def check_generations(
    processes: Iterable[FakeProcess], accepted: dict[int, Configuration]
) -> None:
    """Raise if two nodes hold different configurations of one generation."""
    for process in processes:
        configuration = process.state.node.configuration
        first_seen = accepted.setdefault(configuration.generation, configuration)
        if first_seen != configuration:
            raise ViolationError(
                f"generation {configuration.generation} has two configurations"
            )
