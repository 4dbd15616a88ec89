"""Linear cost models from which ``docs/CAPACITY.md`` extrapolates."""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable

import numpy as np
from attrs import evolve

from benchmarks.datapath import KEYS, make_state
from benchmarks.results import Result
from shedsill._addresses import Address
from shedsill.coordination.membership import (
    FAN_OUT,
    REPORTS_PER_HEARTBEAT,
    merge_reports,
)
from shedsill.http3._configuration import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from shedsill.http3._configuration_rules import AcceptanceInputs, accept_resources
from shedsill.http3._events import Tick
from shedsill.http3._frames import Load, NodeReport, encode_frame
from shedsill.http3._node import HeartbeatPayload, make_heartbeat, make_probe_answer
from shedsill.http3._reducer import reduce
from shedsill.http3._resources import Service, Upstream, UpstreamSet

UPSTREAM_COUNTS = (50, 100, 200, 400, 800)
UPSTREAMS_PER_SERVICE = 4
NODE_COUNTS = (30, 300, 3_000, 21_900)
TIMING_REPEATS = 5


def make_inputs(upstreams: int) -> AcceptanceInputs:
    """Return resources of services with `UPSTREAMS_PER_SERVICE` upstreams each."""
    services = []
    sets = []
    for index in range(upstreams // UPSTREAMS_PER_SERVICE):
        name = f"service-{index}"
        services.append(Service(name=name, address=f"10.0.0.1:{index + 1}"))
        members = tuple(
            Upstream(
                name=f"{name}-{member}",
                address=f"10.1.{index // 250}.{index % 250}:{member + 1}",
                zone="zone-1",
            )
            for member in range(UPSTREAMS_PER_SERVICE)
        )
        sets.append(UpstreamSet(name=name, service=name, upstreams=members))
    return AcceptanceInputs(services=tuple(services), upstream_sets=tuple(sets))


def make_report(index: int) -> NodeReport:
    """Return the report of an agent."""
    return NodeReport(
        name=f"node-{index}",
        address=Address("10.2.0.1", index + 1),
        balancer=False,
        incarnation=1,
        heartbeat_number=1,
        generation=1,
    )


def _time_call(function: Callable[[], object]) -> float:
    """Return the minimum CPU time over `TIMING_REPEATS` calls, in seconds."""
    best = float("inf")
    for _ in range(TIMING_REPEATS):
        start = time.process_time()
        function()
        best = min(best, time.process_time() - start)
    return best


def _fit_line(name: str, sizes, values, unit: str) -> list[Result]:
    """Fit a line; the residual is the largest relative error."""
    slope, offset = np.polyfit(sizes, values, 1)
    fitted = slope * np.asarray(sizes) + offset
    residual = float(np.max(np.abs(fitted - values) / np.abs(values)))
    return [
        Result(f"{name}, slope", float(slope), unit),
        Result(f"{name}, offset", float(offset), unit),
        Result(f"{name}, largest residual", residual * 100, "%"),
    ]


def measure_capacity() -> list[Result]:
    """Measure configuration, tick, heartbeat and gossip costs."""
    results = _measure_configuration()
    results += _measure_tick()
    results += _measure_heartbeat()
    return results + [_count_gossip_rounds(size) for size in NODE_COUNTS]


def _measure_configuration() -> list[Result]:
    encoded_bytes, accepting, decoding, memory = [], [], [], []
    for size in UPSTREAM_COUNTS:
        inputs = make_inputs(size)
        configuration = accept_resources(Configuration(), inputs).configuration
        value = encode_configuration(configuration)
        encoded_bytes.append(len(json.dumps(value)))
        accepting.append(
            _time_call(lambda i=inputs, c=configuration: accept_resources(c, i)) * 1e6
        )
        decoding.append(_time_call(lambda v=value: decode_configuration(v)) * 1e6)
        tracemalloc.start()
        decoded = decode_configuration(value)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del decoded
    return [
        *_fit_line(
            "configuration, octets per upstream", UPSTREAM_COUNTS, encoded_bytes, "B"
        ),
        *_fit_line("accepting, per upstream", UPSTREAM_COUNTS, accepting, "us"),
        *_fit_line("decoding, per upstream", UPSTREAM_COUNTS, decoding, "us"),
        *_fit_line(
            "memory of a configuration, per upstream", UPSTREAM_COUNTS, memory, "B"
        ),
    ]


def _measure_tick() -> list[Result]:
    """Measure CPU time of a balancer's tick by number of upstreams and of nodes."""
    by_upstream = []
    for size in UPSTREAM_COUNTS:
        configuration = accept_resources(
            Configuration(), make_inputs(size)
        ).configuration
        by_upstream.append(_time_tick(make_state(configuration)) * 1e6)
    configuration = accept_resources(
        Configuration(), make_inputs(UPSTREAMS_PER_SERVICE)
    ).configuration
    by_member = []
    for size in UPSTREAM_COUNTS:
        state = make_state(configuration)
        reports = [make_report(index) for index in range(size)]
        membership = merge_reports(state.node.membership, reports, 1.0)
        state = evolve(state, node=evolve(state.node, membership=membership))
        by_member.append(_time_tick(state) * 1e6)
    return [
        *_fit_line(
            "beat of a balancer, per upstream", UPSTREAM_COUNTS, by_upstream, "us"
        ),
        *_fit_line("beat of a balancer, per member", UPSTREAM_COUNTS, by_member, "us"),
    ]


def _time_tick(state) -> float:
    return _time_call(lambda: reduce(state, Tick(now=2.0, seed=1)))


def _measure_heartbeat() -> list[Result]:
    configuration = accept_resources(
        Configuration(), make_inputs(UPSTREAMS_PER_SERVICE)
    ).configuration
    state = make_state(configuration)
    reports = [make_report(index) for index in range(REPORTS_PER_HEARTBEAT)]
    membership = merge_reports(state.node.membership, reports, 1.0)
    node = evolve(state.node, membership=membership)
    payload = HeartbeatPayload(service=1, upstream=1, load=Load())
    frame = make_heartbeat(node, payload, now=1.0, seed=1)
    encoded_bytes = len(encode_frame(KEYS, frame))
    seconds = _time_call(lambda: [encode_frame(KEYS, frame) for _ in range(100)]) / 100
    answer_bytes = len(encode_frame(KEYS, make_probe_answer(node, payload)))
    per_second = 2 * FAN_OUT * (encoded_bytes + answer_bytes)
    return [
        Result("heartbeat, octets", float(encoded_bytes), "B"),
        Result("probe or answer, octets", float(answer_bytes), "B"),
        Result("heartbeat, encoding", seconds * 1e6, "us"),
        Result("heartbeats sent, answered and received", per_second / 1e3, "kB/s"),
    ]


def _count_gossip_rounds(size: int) -> Result:
    """Count rounds until a generation has reached all of `size` nodes.

    In each round every node sends to `FAN_OUT` random peers, which answer; the one
    with the older generation pulls the newer.  Worst of three seeds.
    """
    worst = 0
    for seed in range(3):
        generator = random.Random(seed)
        informed = bytearray(size)
        informed[0] = 1
        rounds = 0
        while not all(informed):
            rounds += 1
            before = bytes(informed)
            for node in range(size):
                for peer in generator.choices(range(size), k=FAN_OUT):
                    if before[node] or before[peer]:
                        informed[node] = informed[peer] = 1
        worst = max(worst, rounds)
    return Result(f"beats until {size} nodes have a generation", float(worst), "")
