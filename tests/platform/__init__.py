"""Tests of the platform's translations; they need neither the platform nor its kit."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
