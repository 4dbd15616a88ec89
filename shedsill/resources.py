"""Resources written by operators: services, sets of upstreams, planned changes."""

from __future__ import annotations

from shedsill.http3._resources import (
    Action,
    Change,
    Document,
    RequestClass,
    RequestKind,
    Resource,
    Service,
    Upstream,
    UpstreamSet,
    decode_spec,
    encode_spec,
    get_kind,
    match_class,
    parse_documents,
    parse_resource,
)

__all__ = [
    "Action",
    "Change",
    "Document",
    "RequestClass",
    "RequestKind",
    "Resource",
    "Service",
    "Upstream",
    "UpstreamSet",
    "decode_spec",
    "encode_spec",
    "get_kind",
    "match_class",
    "parse_documents",
    "parse_resource",
]
