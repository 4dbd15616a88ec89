"""The exception tree of the package.

Ordinary outcomes (a conflict, a refused request, an unreachable platform) are
values, not exceptions.  What stands here is raised at the edges: settings and
documents that cannot be used, bytes that cannot be decoded, and invariants of
the program that do not hold.
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
    """Base class of every error raised by this package."""


class SettingError(ShedsillError):
    """A setting has a value that is not allowed."""

    def __init__(self, setting: str, value: object, allowed: str) -> None:
        self.setting = setting
        self.value = value
        self.allowed = allowed
        super().__init__(f"setting {setting} is {value!r}; allowed: {allowed}")


class DocumentError(ShedsillError):
    """A resource document has a field that is not allowed."""

    def __init__(self, field: str, value: object, allowed: str) -> None:
        self.field = field
        self.value = value
        self.allowed = allowed
        super().__init__(f"field {field} is {value!r}; allowed: {allowed}")


class DecodeError(ShedsillError):
    """Bytes from the network could not be decoded or authenticated."""


class InvariantError(ShedsillError):
    """An invariant of the program does not hold; the process has to stop."""
