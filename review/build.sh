#!/bin/sh
# The stand-ins use the standard library only; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m py_compile rig.py models.py ./*/case.py
