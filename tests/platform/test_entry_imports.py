"""What an entry on the platform imports."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Libraries that only a process with a metrics endpoint needs.
UNWANTED = ("opentelemetry", "prometheus_client")


def test_an_entry_does_not_import_the_metrics_exporters():
    code = (
        "import sys; sys.path.append('platform');"
        "import adapter.entry_interface, chestnutvale.programs.entry.daemon;"
        f"print([name for name in {UNWANTED} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert found.stdout.strip() == "[]", found.stderr
