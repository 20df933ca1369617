"""The demo stops even if further signals interrupt its signal handler."""

import subprocess
import sys
from pathlib import Path

DEMO = Path(__file__).resolve().parent.parent.parent / "script" / "demo.py"
INTERRUPTED_STAY_SCRIPT = """
import importlib.util, os, signal, sys, threading
spec = importlib.util.spec_from_file_location("demo", sys.argv[1])
demo = importlib.util.module_from_spec(spec)
spec.loader.exec_module(demo)
more = []

def interrupt(frame, event, argument):
    # After the first signal, each of the next 20 function calls raises another one.
    if event == "call" and more:
        more.pop()
        signal.raise_signal(signal.SIGTERM)

def ask_to_stop():
    more.extend(range(20))
    os.kill(os.getpid(), signal.SIGTERM)

threading.Timer(0.3, ask_to_stop).start()
sys.setprofile(interrupt)
demo.stay_up()
sys.setprofile(None)
print("ended")
"""


def test_signals_during_a_signal_handler_do_not_prevent_the_stop():
    command = [sys.executable, "-c", INTERRUPTED_STAY_SCRIPT, str(DEMO)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=15)
    assert run.stdout.endswith("ended\n"), run.stderr
