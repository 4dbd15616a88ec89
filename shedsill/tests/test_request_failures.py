"""The log of a failed upstream request names the cause."""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.http3._events import UpstreamFailed
from shedsill.http3._requests import handle_upstream_failure
from shedsill.tests.test_faults import make_scenario


def test_failed_request_logs_its_cause() -> None:
    scene = make_scenario()
    scene.simulation.send_request(scene.flow, "w")
    scene.simulation.settle()
    (run,) = scene.simulation.list_running()
    event = UpstreamFailed(
        request=run.request,
        sent=True,
        reason="ServerDisconnectedError",
        now=scene.simulation.now,
        seed=1,
    )
    state = scene.simulation.nodes[scene.agent].state
    _state, effects = handle_upstream_failure(state, event)
    entries = [
        effect.fields
        for effect in effects
        if isinstance(effect, WriteLog)
        and effect.event == LogEvent.UPSTREAM_CALL_FAILED
    ]
    (fields,) = entries
    assert fields["reason"] == "ServerDisconnectedError"
    assert fields["sent"]
    assert fields["request"] == run.request
