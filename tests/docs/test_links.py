"""Links, files and client commands named in the documentation exist."""

import re
import shlex
from pathlib import Path

import defopt
import pytest

from chestnutvale.programs.client.main import COMMANDS

ROOT = Path(__file__).resolve().parent.parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
# Base folders of the file paths in the pages.
BASES = (
    ROOT,
    ROOT / "chestnutvale",
    ROOT / "chestnutvale" / "programs",
    ROOT / "platform",
)

LINK = re.compile(r"\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ +(.*)$", re.MULTILINE)
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
CODE_SPAN = re.compile(r"`([^`]+)`")
PYTHON_FILE = re.compile(r"[\w./-]+\.py\b")


def parametrize_by_page(function):
    names = [str(page.relative_to(ROOT)) for page in PAGES]
    return pytest.mark.parametrize("page", PAGES, ids=names)(function)


def find_anchors(page):
    """Return the heading anchors of a page, as common Markdown renderers make them."""
    headings = HEADING.findall(FENCE.sub("", page.read_text()))
    cleaned = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {heading.replace(" ", "-") for heading in cleaned}


def find_commands(text):
    """Yield the client command lines in code blocks and code spans of a text."""
    for block in FENCE.findall(text):
        for line in block.splitlines():
            if line.strip().startswith("chestnut "):
                yield line.strip()
    for span in CODE_SPAN.findall(FENCE.sub("", text)):
        line = " ".join(span.split())
        if line.startswith("chestnut "):
            yield line


def is_valid_command(line):
    """Return whether the client accepts a command line.

    For a line without arguments, only the command has to exist. Square brackets mark
    optional arguments, which are checked too.
    """
    expanded_line = line.replace("[", " ").replace("]", " ")
    arguments = shlex.split(expanded_line, comments=True)[1:]
    words = list(arguments)
    known = COMMANDS
    while words and not callable(known):
        known = known.get(words.pop(0), {})
    if not known:
        return False
    if not words:
        return True
    try:
        defopt.bind(COMMANDS, argv=arguments, short={})
    except SystemExit:
        return False
    return True


def file_exists(name):
    if "/" not in name:
        return any(
            next(folder.rglob(name), None)
            for folder in (ROOT / "chestnutvale", ROOT / "tests", ROOT / "script")
        )
    return any((base / name).is_file() for base in BASES)


@parametrize_by_page
def test_links_resolve(page):
    broken = []
    for target in LINK.findall(FENCE.sub("", page.read_text())):
        if target.startswith(("http://", "https://")):
            continue
        name, _, anchor = target.partition("#")
        other = (page.parent / name).resolve() if name else page
        if not other.exists() or (anchor and anchor not in find_anchors(other)):
            broken.append(target)
    assert not broken


@parametrize_by_page
def test_named_python_files_exist(page):
    names = set(PYTHON_FILE.findall(page.read_text()))
    assert [name for name in sorted(names) if not file_exists(name)] == []


@parametrize_by_page
def test_commands_of_the_client_parse(page):
    lines = find_commands(page.read_text())
    assert [line for line in lines if not is_valid_command(line)] == []


@pytest.mark.parametrize(
    "line, is_right",
    [
        ("chestnut status", True),
        ("chestnut voter add", True),
        ("chestnut voter", True),
        ("chestnut drain host-1 --undo", True),
        ("chestnut voter remove control-2  # a comment", True),
        ("chestnut drain HOST [--undo]", True),
        ("chestnut drain HOST [--back]", False),
        ("chestnut drain host-1 --back", False),
        ("chestnut voter replace control-2", False),
        ("chestnut reload", False),
    ],
)
def test_invalid_commands_are_detected(line, is_right):
    assert is_valid_command(line) == is_right


def test_missing_files_are_detected():
    assert file_exists("consensus/raft.py")
    assert not file_exists("consensus/rafts.py")
    assert not file_exists("rafts.py")
