"""Guards against pages that name a module, function, constant or file that is gone."""

from __future__ import annotations

import re
from functools import cache
from pathlib import Path

import pytest

from shedsill._catalogue import LogEvent
from shedsill._cli import ENVIRONMENT_PREFIX, cli

ROOT = Path(__file__).parents[2]
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
]
CODE_FOLDERS = ("shedsill", "properties", "benchmarks", "deploy", ".ci")
CODE_SUFFIXES = {".py", ".capnp", ".toml", ".in", ".txt", ""}
PLACEHOLDERS = {"GROUP", "NUMBER"}
"""Words of examples that stand for any value."""


def list_settings() -> set[str]:
    """Return the environment variables of all commands."""
    return {
        f"{ENVIRONMENT_PREFIX}_{name}_{parameter.name}".upper().replace("-", "_")
        for name, command in cli.commands.items()
        for parameter in command.params
    }


@cache
def read_words() -> frozenset[str]:
    """Return all words of the source, and the names of its files."""
    words: set[str] = set()
    for folder in CODE_FOLDERS:
        for path in (ROOT / folder).rglob("*"):
            if path.is_file() and path.suffix in CODE_SUFFIXES:
                if path == Path(__file__):
                    continue
                words.update(re.findall(r"\w+", path.read_text()))
                words.add(path.stem)
    words.update(event.name.lower() for event in LogEvent)
    return frozenset(words | list_settings() | PLACEHOLDERS)


def list_names(page: Path) -> set[str]:
    """Return the words in code spans that look like names of the source."""
    text = re.sub(r"```.*?```", "", page.read_text(), flags=re.DOTALL)
    names: set[str] = set()
    for span in re.findall(r"`([^`\n]+)`", text):
        for word in re.findall(r"(?<![\w.<-])[A-Za-z_]\w*(?![\w>])", span):
            is_name = "_" in word.strip("_") or re.search(r"[a-z][A-Z]", word)
            if is_name or word.isupper() or word.startswith("_"):
                names.add(word)
        for dotted in re.findall(r"\b(?:shedsill|properties|benchmarks)[.\w]+", span):
            names.update(dotted.split("."))
    return names


def list_paths(page: Path) -> set[str]:
    """Return the files of this repository that code spans and links name."""
    text = page.read_text()
    spans = re.findall(
        r"`((?:docs|shedsill|properties|benchmarks|deploy)/[^`\s]+)`", text
    )
    links = re.findall(r"\]\((?!https?:|#)([^)#]+)", text)
    folder = page.parent.relative_to(ROOT)
    return {*spans, *(str(folder / link) for link in links)}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_names_in_pages_exist_in_source(page: Path) -> None:
    assert sorted(list_names(page) - read_words()) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_files_that_pages_name_exist(page: Path) -> None:
    missing = [p for p in list_paths(page) if not (ROOT / p).exists()]
    assert sorted(missing) == []
