"""Resource documents of services, for tests, benchmarks and the quickstart."""

from __future__ import annotations

import yaml
from attrs import frozen

from shedsill._addresses import Address


@frozen(kw_only=True)
class ServiceLayout:
    """A service, the names of its upstreams and its limits."""

    name: str
    upstreams: tuple[str, ...]
    slots: int
    connections: int = 2_000
    queue: int = 64


def _list_upstream_names(service: str, count: int) -> tuple[str, ...]:
    return tuple(f"{service}-{index + 1}" for index in range(count))


def make_layout(name: str, *, count: int, slots: int) -> ServiceLayout:
    """Return the layout of a service whose upstreams are numbered from 1."""
    return ServiceLayout(
        name=name, upstreams=_list_upstream_names(name, count), slots=slots
    )


PECAN_BOTTOM_LAYOUTS = (
    make_layout("dispatcher", count=7, slots=3),
    make_layout("intake", count=4, slots=3),
)
LJUBLJANA_LAYOUTS = (
    make_layout("watchtower", count=7, slots=4),
    make_layout("ledger", count=3, slots=4),
)
REQUEST_CLASSES = (
    {"name": "stream", "method": "GET", "path": "/stream", "kind": "stream"},
    {"name": "claim", "method": "POST", "path": "/claim", "deadline": 5.0},
    {"name": "alarm", "method": "POST", "path": "/alarm", "deadline": 5.0},
    {"name": "upload", "method": "POST", "path": "/upload", "deadline": 60.0},
    {"name": "read", "method": "GET", "path": "/read", "repeatable": True},
)


def make_documents(
    layouts: tuple[ServiceLayout, ...],
    ports: dict[str, int],
    agents: dict[str, Address],
) -> str:
    """Return the YAML documents of services and their upstream sets.

    Parameters
    ----------
    ports : dict of str to int
        Port on which balancers listen, by service.
    agents : dict of str to Address
        Address of the agent, by upstream.
    """
    documents = []
    for layout in layouts:
        spec = {
            "address": f"127.0.0.1:{ports[layout.name]}",
            "slots": layout.slots,
            "connections": layout.connections,
            "queue": layout.queue,
            "classes": [dict(entry) for entry in REQUEST_CLASSES],
        }
        documents.append({"kind": "Service", "name": layout.name, "spec": spec})
        upstreams = [
            {"name": name, "address": str(agents[name])} for name in layout.upstreams
        ]
        spec = {"service": layout.name, "upstreams": upstreams}
        documents.append({"kind": "UpstreamSet", "name": layout.name, "spec": spec})
    return yaml.safe_dump_all(documents, sort_keys=False)
