"""Resources written by operators, and their validation."""

from __future__ import annotations

import enum
import json
from typing import Any

import cattrs
import yaml
from attrs import field, frozen
from cattrs.gen import make_dict_structure_fn

from shedsill._addresses import parse_address
from shedsill.errors import DocumentError

NAME_ALLOWED = "1 to 63 lower-case letters, digits, dots and hyphens"
MAX_NAME_LENGTH = 63
NAME_ALPHABET = frozenset("abcdefghijklmnopqrstuvwxyz0123456789.-")


def _check_name(_instance: object, attribute: Any, value: object) -> None:
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= MAX_NAME_LENGTH
        or not set(value) <= NAME_ALPHABET
    ):
        raise DocumentError(attribute.name, value, NAME_ALLOWED)


def _check_address(_instance: object, attribute: Any, value: object) -> None:
    parse_address(str(value), field=attribute.name)


def _check_path(_instance: object, attribute: Any, value: object) -> None:
    if not isinstance(value, str) or not value.startswith("/"):
        raise DocumentError(attribute.name, value, "a path that starts with '/'")


def _check_range(low: float, high: float) -> Any:
    def check(_instance: object, attribute: Any, value: Any) -> None:
        if not low <= value <= high:
            allowed = f"a number from {low} to {high}"
            raise DocumentError(attribute.name, value, allowed)

    return check


class RequestKind(enum.Enum):
    """How a request uses its upstream."""

    SLOT = "slot"
    STREAM = "stream"


class Action(enum.Enum):
    """Action requested by a `Change`."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    STOP_BALANCER = "stop-balancer"
    ROTATE_KEYS = "rotate-keys"


@frozen(kw_only=True)
class RequestClass:
    """Requests of one service with the same settings.

    Attributes
    ----------
    name : str
        Name in logs and metrics.
    method : str
        HTTP method, or ``*`` for any.
    path : str
        Path prefix.
    kind : RequestKind
        Whether a request occupies a slot while it runs, or is a long-lived stream.
    repeatable : bool
        Whether the request is idempotent, so that it may be retried.
    deadline : float
        Seconds from arrival to the complete answer; does not apply to streams.
    """

    name: str = field(validator=_check_name)
    method: str = "*"
    path: str = field(default="/", validator=_check_path)
    kind: RequestKind = RequestKind.SLOT
    repeatable: bool = False
    deadline: float = field(default=30.0, validator=_check_range(0.05, 86_400.0))


@frozen(kw_only=True)
class Service:
    """A service that callers reach at one address.

    Attributes
    ----------
    address : str
        ``IP:PORT`` to which callers send.
    connections : int
        Maximum number of connections per upstream.
    slots : int
        Maximum number of requests that run at one upstream at a time.
    queue : int
        Maximum number of queued requests per upstream.
    """

    name: str = field(validator=_check_name)
    address: str = field(validator=_check_address)
    connections: int = field(default=2_000, validator=_check_range(1, 1_000_000))
    slots: int = field(default=4, validator=_check_range(1, 10_000))
    queue: int = field(default=64, validator=_check_range(0, 100_000))
    classes: tuple[RequestClass, ...] = ()


@frozen(kw_only=True)
class Upstream:
    """One backend server and the agent beside it.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the agent (UDP for frames, TCP for control).
    zone : str
        Availability zone.
    """

    name: str = field(validator=_check_name)
    address: str = field(validator=_check_address)
    zone: str = ""


@frozen(kw_only=True)
class UpstreamSet:
    """The upstreams of one service."""

    name: str = field(validator=_check_name)
    service: str = field(validator=_check_name)
    upstreams: tuple[Upstream, ...] = ()


@frozen(kw_only=True)
class Change:
    """A planned change, whose status shows when it is done.

    Attributes
    ----------
    target : str
        Name of the upstream or balancer; empty for a key rotation.
    """

    name: str = field(validator=_check_name)
    action: Action
    target: str = ""


Resource = Service | UpstreamSet | Change

RESOURCE_KINDS: dict[str, type] = {
    "service": Service,
    "upstreamset": UpstreamSet,
    "change": Change,
}


def get_kind(resource: Resource) -> str:
    """Return the kind under which a resource is stored."""
    return type(resource).__name__.lower()


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(bool, _structure_boolean)
    converter.register_structure_hook(Action, _structure_action)
    for cls in (RequestClass, Service, Upstream, UpstreamSet, Change):
        hook = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)
        converter.register_structure_hook(cls, hook)
    return converter


def _structure_number(value: object, _type: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DocumentError("", value, "a number")
    return float(value)


def _structure_integer(value: object, _type: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError("", value, "a whole number")
    return value


def _structure_text(value: object, _type: type) -> str:
    if not isinstance(value, str):
        raise DocumentError("", value, "text")
    return value


def _structure_action(value: object, _type: type) -> Action:
    try:
        return Action(value)
    except ValueError:
        allowed = ", ".join(action.value for action in Action)
        raise DocumentError("", value, f"one of {allowed}") from None


def _structure_boolean(value: object, _type: type) -> bool:
    if not isinstance(value, bool):
        raise DocumentError("", value, "true or false")
    return value


CONVERTER = _make_converter()


def _convert_error(error: BaseException, path: str) -> DocumentError:
    """Convert the first error in a group of cattrs errors to a `DocumentError`."""
    notes = getattr(error, "__notes__", [])
    for note in notes:
        name = getattr(note, "name", None)
        if name is None:
            name = getattr(note, "index", None)
        if name is not None:
            path = f"{path}.{name}" if path else str(name)
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        extra = sorted(error.extra_fields)[0]
        allowed = ", ".join(a.name for a in error.cl.__attrs_attrs__)
        where = f"{path}.{extra}" if path else extra
        return DocumentError(where, extra, f"only the fields {allowed}")
    if isinstance(error, BaseExceptionGroup):
        return _convert_error(error.exceptions[0], path)
    if isinstance(error, DocumentError):
        where = ".".join(part for part in (path, error.field) if part)
        return DocumentError(where, error.value, error.allowed)
    if isinstance(error, KeyError):
        return DocumentError(path or str(error.args[0]), None, "a value (required)")
    return DocumentError(path, str(error), "a value of the documented type")


def parse_resource(document: object) -> Resource:
    """Validate a document and return its resource.

    Parameters
    ----------
    document : object
        A mapping with ``kind``, ``name`` and ``spec``.

    Raises
    ------
    DocumentError
        If a field is not valid.

    Examples
    --------
    >>> spec = {"service": "intake", "upstreams": []}
    >>> parse_resource({"kind": "UpstreamSet", "name": "a", "spec": spec})
    UpstreamSet(name='a', service='intake', upstreams=())
    """
    if not isinstance(document, dict):
        raise DocumentError("document", document, "a mapping with kind, name and spec")
    kind = str(document.get("kind", "")).lower()
    if kind not in RESOURCE_KINDS:
        allowed = "one of Service, UpstreamSet, Change"
        raise DocumentError("kind", document.get("kind"), allowed)
    extra = set(document) - {"kind", "name", "spec", "status", "version"}
    if extra:
        allowed = "only the fields kind, name, spec, status, version"
        raise DocumentError(sorted(extra)[0], sorted(extra)[0], allowed)
    spec = document.get("spec")
    if not isinstance(spec, dict):
        raise DocumentError("spec", spec, "a mapping")
    return _structure_resource(kind, document.get("name"), spec)


def _structure_resource(kind: str, name: object, spec: dict) -> Resource:
    try:
        resource = CONVERTER.structure({"name": name, **spec}, RESOURCE_KINDS[kind])
    except DocumentError as error:
        raise DocumentError(f"spec.{error.field}", error.value, error.allowed) from None
    except Exception as error:
        raise _convert_error(error, "spec") from None
    _check_resource(resource)
    return resource


def _check_resource(resource: Resource) -> None:
    match resource:
        case UpstreamSet(upstreams=members):
            _check_unique("spec.upstreams.name", [m.name for m in members])
            _check_unique("spec.upstreams.address", [m.address for m in members])
        case Service(classes=classes):
            _check_unique("spec.classes.name", [c.name for c in classes])
        case Change(action=Action.ROTATE_KEYS, target=target) if target:
            raise DocumentError("spec.target", target, "empty for rotate-keys")
        case Change(action=action, target="") if action != Action.ROTATE_KEYS:
            raise DocumentError(
                "spec.target", "", "the name of an upstream or balancer"
            )


def _check_unique(name: str, values: list[str]) -> None:
    for value in values:
        if values.count(value) > 1:
            raise DocumentError(name, value, "unique values")


@frozen(kw_only=True)
class Document:
    """A resource and the version that its author last read."""

    resource: Resource
    version: int | None = None


def parse_documents(text: str) -> tuple[Document, ...]:
    """Parse YAML or JSON text with one or more documents.

    Raises
    ------
    DocumentError
        If the text or one of its documents is not valid.
    """
    try:
        loaded = [item for item in yaml.safe_load_all(text) if item is not None]
    except yaml.YAMLError as error:
        raise DocumentError("document", str(error), "YAML or JSON") from None
    flat: list[object] = []
    for item in loaded:
        flat.extend(item if isinstance(item, list) else [item])
    return tuple(_parse_document(item) for item in flat)


def _parse_document(item: object) -> Document:
    resource = parse_resource(item)
    version = item.get("version") if isinstance(item, dict) else None
    return Document(resource=resource, version=version)


def encode_spec(resource: Resource) -> dict[str, Any]:
    """Return the ``spec`` mapping of a resource, as the platform stores it."""
    spec = CONVERTER.unstructure(resource)
    del spec["name"]
    return json.loads(json.dumps(spec))


def decode_spec(kind: str, name: str, spec: dict[str, Any]) -> Resource:
    """Validate a stored ``spec`` and return its resource."""
    return _structure_resource(kind, name, spec)


DEFAULT_CLASS = RequestClass(name="default")


def match_class(
    classes: tuple[RequestClass, ...], *, method: str, path: str
) -> RequestClass:
    """Return the class with the longest matching path prefix.

    Examples
    --------
    >>> claim = RequestClass(name="claim", method="POST", path="/claim")
    >>> match_class((claim,), method="POST", path="/claim/7").name
    'claim'
    >>> match_class((claim,), method="GET", path="/claim").name
    'default'
    """
    best = DEFAULT_CLASS
    length = -1
    for candidate in classes:
        if candidate.method not in ("*", method):
            continue
        if path.startswith(candidate.path) and len(candidate.path) > length:
            best = candidate
            length = len(candidate.path)
    return best


__all__ = [
    "CONVERTER",
    "Action",
    "Change",
    "Document",
    "RequestClass",
    "RequestKind",
    "Resource",
    "Service",
    "Upstream",
    "UpstreamSet",
]
