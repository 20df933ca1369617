"""Prepares a process for eventlet before its other imports.

It imports no library and only `early_signals` of the project at import time, so that a
program can call it first.
"""

import gc
import importlib
import os
import sys
from types import ModuleType
from typing import Any, Final

from chestnutvale.programs.early_signals import ignore_early_signals

# Modules that a library imports but uses only in cases that do not occur here: asyncio
# for eventlet's asyncio hub, and the pure-Python messages of protobuf where its C
# library is missing.
DEFERRED_MODULES: Final = (
    "asyncio",
    "google.protobuf.internal.python_message",
)


class _DeferredModule(ModuleType):
    """Stands for a module until one of its attributes is read.

    `importlib.util.LazyLoader` would load the module as soon as eventlet's monkey
    patching calls `isinstance` with it.
    """

    def __getattr__(self, name: str) -> Any:
        """Import the module and return its attribute."""
        # Tracebacks look for the file of every module in `sys.modules`.
        if name == "__file__":
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


def start_green() -> None:
    """Patch the standard library for eventlet at the lowest cost; ignore some signals.

    Must run before the other imports, so that the libraries use eventlet's sockets.
    Garbage collection is off until `tune_garbage_collection` is called, because nothing
    that imports create becomes garbage.
    """
    gc.disable()
    ignore_early_signals()
    # All addresses are IP addresses, and eventlet's DNS resolver would take a quarter
    # of the start-up time.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    for name in DEFERRED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = _DeferredModule(name)
    import eventlet

    eventlet.monkey_patch()
