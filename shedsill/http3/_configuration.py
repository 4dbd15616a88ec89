"""The accepted configuration and its JSON encoding."""

from __future__ import annotations

import enum
import functools
import json
from typing import Any

import cattrs
from attrs import field, frozen

from shedsill._addresses import Address, parse_address
from shedsill.errors import DecodeError
from shedsill.http3._resources import (
    CONVERTER,
    Service,
)


class UpstreamState(enum.Enum):
    """State of an upstream in the accepted configuration."""

    ACTIVE = "active"
    DRAINING = "draining"


@frozen(kw_only=True)
class AcceptedService:
    """A service and its number in connection IDs."""

    number: int
    service: Service

    @property
    def name(self) -> str:
        """Name of the service."""
        return self.service.name


@frozen(kw_only=True)
class AcceptedUpstream:
    """An upstream and its number in connection IDs.

    Attributes
    ----------
    successor : int
        Number of the upstream whose agent takes over the records of outcomes when
        this one leaves; 0 if there is none.
    removed : bool
        Whether the upstream was removed from its set; it is deleted once drained.
    """

    number: int
    service: int
    name: str
    address: str
    zone: str = ""
    state: UpstreamState = UpstreamState.ACTIVE
    successor: int = 0
    removed: bool = False

    @property
    def socket_address(self) -> Address:
        """Address of the agent."""
        return parse_address(self.address)


@frozen(kw_only=True)
class Departed:
    """An upstream that has left, and the one that took over its records."""

    number: int
    successor: int


@frozen(kw_only=True)
class Configuration:
    """The configuration in force on every node.

    Attributes
    ----------
    generation : int
        Increases by one with each accepted change; never decreases.
    key_epoch : int
        Number of the key that encrypts new connection IDs.
    next_service, next_upstream : int
        Lowest numbers that have never been used.
    stopping_balancers : tuple of str
        Balancers that are leaving.
    rotations : tuple of str
        Names of the key rotations that `key_epoch` includes.
    departed : tuple of Departed
        The last upstreams that have left.
    """

    generation: int = 0
    key_epoch: int = 1
    next_service: int = 1
    next_upstream: int = 1
    services: tuple[AcceptedService, ...] = ()
    upstreams: tuple[AcceptedUpstream, ...] = ()
    stopping_balancers: tuple[str, ...] = ()
    rotations: tuple[str, ...] = ()
    departed: tuple[Departed, ...] = ()
    _upstream_index: dict[int, AcceptedUpstream] = field(
        init=False, eq=False, repr=False
    )
    _service_index: dict[int, AcceptedService] = field(init=False, eq=False, repr=False)
    _members: dict[int, tuple[AcceptedUpstream, ...]] = field(
        init=False, eq=False, repr=False
    )

    @_upstream_index.default
    def _make_upstream_index(self) -> dict[int, AcceptedUpstream]:
        return {upstream.number: upstream for upstream in self.upstreams}

    @_service_index.default
    def _make_service_index(self) -> dict[int, AcceptedService]:
        return {service.number: service for service in self.services}

    @_members.default
    def _make_members(self) -> dict[int, tuple[AcceptedUpstream, ...]]:
        members: dict[int, list[AcceptedUpstream]] = {}
        for upstream in self.upstreams:
            members.setdefault(upstream.service, []).append(upstream)
        return {service: tuple(found) for service, found in members.items()}

    @functools.cached_property
    def agent_addresses(self) -> tuple[Address, ...]:
        """Addresses of all agents."""
        return tuple(upstream.socket_address for upstream in self.upstreams)

    def find_upstream(self, number: int) -> AcceptedUpstream | None:
        """Return the upstream with this number, if there is one."""
        return self._upstream_index.get(number)

    def find_service(self, number: int) -> AcceptedService | None:
        """Return the service with this number, if there is one."""
        return self._service_index.get(number)

    def find_successor(self, number: int) -> int:
        """Return the upstream that took over from another; 0 if none is known."""
        upstream = self.find_upstream(number)
        if upstream is not None:
            return upstream.successor
        successors = {entry.number: entry.successor for entry in self.departed}
        for _ in range(len(successors)):
            number = successors.get(number, 0)
            if number == 0 or self.find_upstream(number) is not None:
                return number
        return 0

    def list_upstreams(self, service: int) -> tuple[AcceptedUpstream, ...]:
        """Return the upstreams of a service, draining ones included."""
        return self._members.get(service, ())


_CONVERTER = cattrs.Converter(forbid_extra_keys=False)
_CONVERTER.register_unstructure_hook(
    Configuration,
    cattrs.gen.make_dict_unstructure_fn(
        Configuration,
        _CONVERTER,
        _upstream_index=cattrs.override(omit=True),
        _service_index=cattrs.override(omit=True),
        _members=cattrs.override(omit=True),
    ),
)
_CONVERTER.register_structure_hook(
    Service, lambda value, _type: CONVERTER.structure(value, Service)
)


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON value that the platform stores and peers exchange."""
    return _CONVERTER.unstructure(configuration)


def encode_configuration_text(configuration: Configuration) -> bytes:
    """Return the JSON text in which peers send the configuration."""
    return json.dumps(encode_configuration(configuration)).encode()


def decode_configuration(value: dict[str, Any]) -> Configuration:
    """Decode the JSON value of a configuration.

    Raises
    ------
    DecodeError
        If the value is not an accepted configuration.
    """
    try:
        return _CONVERTER.structure(value, Configuration)
    except Exception as error:
        raise DecodeError(f"accepted configuration is not valid: {error}") from error


def decode_configuration_text(text: bytes) -> Configuration:
    """Decode the JSON text of a configuration; raises `DecodeError` if invalid."""
    try:
        value = json.loads(text)
    except ValueError as error:
        raise DecodeError(f"configuration is not valid JSON: {error}") from error
    return decode_configuration(value)


def is_newer(offered: Configuration, current: Configuration) -> bool:
    """Whether a configuration may replace the one in force."""
    return offered.generation > current.generation
