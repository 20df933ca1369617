"""The last log lines of a process reach a slow reader before it ends."""

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# More than a pipe holds.
LINES = 150
LINE_BYTES = 1_000
READER_DELAY_S = 0.2
PROGRAM = """
from chestnutvale.programs.green_start import start_green; start_green()
import os, signal, sys
import logbook
from chestnutvale.programs.runner import serve_until_stopped
from chestnutvale.schema.settings_pb2 import EntrySettings, LogSettings

def serve(settings, signals):
    for number in range({lines}):
        logbook.info("line", extra={{"number": number, "text": "x" * {line_bytes}}})
    {end}
    signals.wait()

log = LogSettings(format="json", level="info", file="-")
sys.exit(serve_until_stopped(EntrySettings(log=log), serve))
"""


@pytest.mark.parametrize(
    ("end", "code", "last"),
    [
        ("os.kill(os.getpid(), signal.SIGTERM)", 0, "signal_received"),
        ("raise ValueError('main loop')", 1, "Stopped by an error of the program"),
    ],
    ids=["signal", "error"],
)
def test_all_lines_are_written_before_the_process_ends(end, code, last):
    program = PROGRAM.format(lines=LINES, line_bytes=LINE_BYTES, end=end)
    with subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", program],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        first = process.stdout.readline()
        time.sleep(READER_DELAY_S)
        rest, _ = process.communicate()
    lines = [json.loads(line) for line in (first + rest).splitlines()]
    assert process.returncode == code
    assert [line["number"] for line in lines[:LINES]] == list(range(LINES))
    assert [line["message"] for line in lines[LINES:]] == [last]


def test_a_reader_that_never_reads_does_not_keep_the_process():
    program = PROGRAM.format(
        lines=LINES, line_bytes=LINE_BYTES, end="raise ValueError('main loop')"
    )
    with subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", program],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        assert process.wait(timeout=20) == 1
