"""Tests of the platform adapter; they need neither the platform nor its test kit."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
