"""The platform's object API as an interface, and its outcomes as values.

An adapter for another store implements `Platform`.  Each call returns a value;
none raises for a store that is down, slow or has answered something unusable.
"""

from __future__ import annotations

from typing import Any, Protocol

from msgspec import Struct


class StoredObject(Struct, frozen=True, kw_only=True):
    """One object of the platform.

    Attributes
    ----------
    version : int
        Set by the platform; grows with each write of any object.
    value : dict
        JSON value of at most one megabyte.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]


class Stored(Struct, frozen=True, kw_only=True):
    """A write took effect."""

    version: int


class Conflict(Struct, frozen=True, kw_only=True):
    """A conditional write found another version; `current` is None if absent."""

    current: StoredObject | None


class Found(Struct, frozen=True, kw_only=True):
    """An answered read; `object` is None where there is no such object."""

    object: StoredObject | None


class Listing(Struct, frozen=True, kw_only=True):
    """All objects of the kinds asked for, as of one revision."""

    objects: tuple[StoredObject, ...]
    revision: int


class Changed(Struct, frozen=True, kw_only=True):
    """What a watch saw; nothing when it timed out.

    Attributes
    ----------
    names : tuple of str
        What has changed, as ``KIND/NAME``.
    objects : tuple of StoredObject
        The changed objects, from a platform whose watches carry them.
    deleted : tuple of str
        Names of deleted objects, from such a platform.
    """

    names: tuple[str, ...]
    revision: int
    objects: tuple[StoredObject, ...] = ()
    deleted: tuple[str, ...] = ()


class HistoryGone(Struct, frozen=True, kw_only=True):
    """The platform no longer has the changes since a watch's revision."""


class Machine(Struct, frozen=True, kw_only=True):
    """One VM of the platform's lagging list."""

    name: str
    leaving: bool


class Machines(Struct, frozen=True, kw_only=True):
    """The platform's list of VMs; lags and may be wrong for a while."""

    machines: tuple[Machine, ...]


class Unavailable(Struct, frozen=True, kw_only=True):
    """No usable answer.

    Attributes
    ----------
    reason : str
        For the log.
    perhaps_applied : bool
        Whether a write may have taken effect all the same.
    """

    reason: str
    perhaps_applied: bool = False


class Get(Struct, frozen=True, kw_only=True):
    """Read one object."""

    kind: str
    name: str


class List(Struct, frozen=True, kw_only=True):
    """Read all objects of some kinds."""

    kinds: tuple[str, ...]


class Put(Struct, frozen=True, kw_only=True):
    """Write an object if its version is still `expected`; 0 means absent."""

    kind: str
    name: str
    value: dict[str, Any]
    expected: int


class Delete(Struct, frozen=True, kw_only=True):
    """Delete an object if its version is still `expected`."""

    kind: str
    name: str
    expected: int


class Watch(Struct, frozen=True, kw_only=True):
    """Wait until an object of some kinds has a version above `revision`.

    Attributes
    ----------
    patience : float
        Seconds after which the platform answers although nothing changed.
    """

    kinds: tuple[str, ...]
    revision: int
    patience: float


class ListMachines(Struct, frozen=True, kw_only=True):
    """Read the list of live and leaving VMs."""


Call = Get | List | Put | Delete | Watch | ListMachines
Outcome = (
    Stored | Conflict | Found | Listing | Changed | HistoryGone | Machines | Unavailable
)


class Platform(Protocol):
    """What the coordination parts need of a store."""

    async def call(self, call: Call) -> Outcome:
        """Carry out one call and return its outcome; never raises for failures."""
        ...


class MemoryPlatform:
    """A store in memory, for examples and tests.

    Examples
    --------
    >>> import asyncio
    >>> store = MemoryPlatform()
    >>> put = Put(kind="lease", name="a", value={}, expected=0)
    >>> asyncio.run(store.call(put))
    Stored(version=1)
    >>> asyncio.run(store.call(put)).current.version
    1
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.machines: tuple[Machine, ...] = ()
        self.revision = 0
        self._deleted: list[tuple[str, str, int]] = []

    async def call(self, call: Call) -> Outcome:
        """Carry out one call."""
        return self.apply(call)

    def apply(self, call: Call) -> Outcome:
        """Carry out one call without waiting; a watch answers at once."""
        match call:
            case Get():
                return Found(object=self.objects.get((call.kind, call.name)))
            case List():
                found = [o for o in self.objects.values() if o.kind in call.kinds]
                return Listing(objects=tuple(found), revision=self.revision)
            case Put():
                return self._put(call)
            case Delete():
                return self._delete(call)
            case Watch():
                return self._find_changes(call)
            case ListMachines():
                return Machines(machines=self.machines)

    def _put(self, call: Put) -> Outcome:
        current = self.objects.get((call.kind, call.name))
        if (current.version if current else 0) != call.expected:
            return Conflict(current=current)
        self.revision += 1
        stored = StoredObject(
            kind=call.kind, name=call.name, version=self.revision, value=call.value
        )
        self.objects[call.kind, call.name] = stored
        return Stored(version=self.revision)

    def _delete(self, call: Delete) -> Outcome:
        current = self.objects.get((call.kind, call.name))
        if current is None or current.version != call.expected:
            return Conflict(current=current)
        self.revision += 1
        del self.objects[call.kind, call.name]
        self._deleted.append((call.kind, call.name, self.revision))
        return Stored(version=self.revision)

    def _find_changes(self, call: Watch) -> Changed:
        names = [
            f"{o.kind}/{o.name}"
            for o in self.objects.values()
            if o.kind in call.kinds and o.version > call.revision
        ]
        names += [
            f"{kind}/{name}"
            for kind, name, version in self._deleted
            if kind in call.kinds and version > call.revision
        ]
        return Changed(names=tuple(names), revision=self.revision)
