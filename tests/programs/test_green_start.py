"""What the programs import until they serve, each in a fresh interpreter."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Libraries that a role may need later, or that others of its installation need. Each
# costs processor time at every start, of which a day with faults has hundreds.
NEVER = ("asyncio", "urllib3", "hdrh", "docutils", "grpc", "chestnutvale.emulator")
CLIENT = ("chestnutvale.programs.client", "tabulate")
EXPORTERS = ("opentelemetry", "prometheus_client")
MESSAGES = ("google.protobuf.internal.python_message", "google.protobuf.text_format")
ENTRY = "chestnutvale.programs.entry.daemon"
CONTROL = "chestnutvale.programs.control.daemon"


def list_imported(statements, names):
    """Return which modules are loaded after `start_green` and some statements."""
    code = (
        "import sys, types; sys.path.append('platform');"
        "from chestnutvale.programs.green_start import start_green; start_green();"
        f"{statements};"
        "loaded = [n for n, m in sys.modules.items() if type(m) is types.ModuleType];"
        f"print(sorted(n for n in {names} if n in loaded))"
    )
    found = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert not found.returncode, found.stderr
    return found.stdout.strip()


@pytest.mark.parametrize(
    ("statements", "names"),
    [
        (
            f"import adapter.entry_interface, {ENTRY}",
            (
                *NEVER,
                *CLIENT,
                *EXPORTERS,
                *MESSAGES,
                CONTROL,
                "pyjson5",
                "google.protobuf.json_format",
                "chestnutvale.programs.entry.own_interface",
            ),
        ),
        (
            f"import adapter.control_interface, {CONTROL}",
            (*NEVER, *CLIENT, *EXPORTERS, *MESSAGES, ENTRY),
        ),
        (
            f"import {ENTRY}, chestnutvale.programs.entry.own_interface",
            (*NEVER, *CLIENT, *MESSAGES, CONTROL),
        ),
        (
            f"import {CONTROL}, chestnutvale.programs.control.interface",
            (*NEVER, *CLIENT, *EXPORTERS, *MESSAGES, ENTRY),
        ),
    ],
    ids=["platform-entry", "platform-control", "entry", "control"],
)
def test_a_role_imports_no_library_that_it_does_not_use(statements, names):
    assert list_imported(statements, names) == "[]"


@pytest.mark.parametrize(
    "use",
    [
        "import asyncio; asyncio.run(asyncio.sleep(0))",
        "import asyncio.events; asyncio.events.get_event_loop_policy()",
        "from asyncio import run",
        "import eventlet.patcher; eventlet.patcher.asyncio_module.tasks.Task",
    ],
)
def test_a_deferred_module_is_whole_once_it_is_used(use):
    assert list_imported(use, ("asyncio", "asyncio.events")) == (
        "['asyncio', 'asyncio.events']"
    )


def test_the_standard_library_is_patched_and_collection_is_off_until_tuned():
    """Else a blocking socket stops all calls, or cycles of objects are never freed."""
    code = (
        "import gc;"
        "from eventlet.patcher import is_monkey_patched;"
        "assert is_monkey_patched('socket') and is_monkey_patched('thread');"
        "assert not gc.isenabled();"
        "from chestnutvale.programs.runner import tune_garbage_collection;"
        "tune_garbage_collection(); assert gc.isenabled()"
    )
    assert list_imported(code, ()) == "[]"
