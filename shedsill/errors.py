"""Exceptions of the package.

Expected outcomes, such as a conflict, a refused request or an unreachable platform,
are values.  Exceptions are raised for invalid settings and documents, data that cannot
be decoded, and violated invariants.
"""

from __future__ import annotations

__all__ = [
    "DecodeError",
    "DocumentError",
    "InvariantError",
    "SettingError",
    "ShedsillError",
]


class ShedsillError(Exception):
    """Base class of all exceptions of this package."""


class SettingError(ShedsillError):
    """A setting has an invalid value."""

    def __init__(self, setting: str, value: object, allowed: str) -> None:
        self.setting = setting
        self.value = value
        self.allowed = allowed
        super().__init__(f"setting {setting} is {value!r}; allowed: {allowed}")


class DocumentError(ShedsillError):
    """A field of a resource document has an invalid value."""

    def __init__(self, field: str, value: object, allowed: str) -> None:
        self.field = field
        self.value = value
        self.allowed = allowed
        super().__init__(f"field {field} is {value!r}; allowed: {allowed}")


class DecodeError(ShedsillError):
    """Data from the network could not be decoded or authenticated."""


class InvariantError(ShedsillError):
    """An invariant of the program is violated; the process has to stop."""
