"""Shares of processors and links of the daemons, each by a program of its own."""

import contextlib
import json
import os
import signal
import sys
import threading
import time
from collections.abc import Iterator
from types import TracebackType
from typing import Self

import attrs

from chestnutvale.emulator.deployment import Deployment
from chestnutvale.emulator.processes import ManagedProcess

# Time in which `quota` notices that a process has no quota any more.
QUOTA_UPDATE_S = 0.3


@attrs.frozen
class MachineLimits:
    """What the machines of the daemons are like.

    Attributes
    ----------
    share : float
        Part of the time in which each daemon may run; 1 for no quota.
    delay_ms : float
        Delay in milliseconds of each direction between callers and entries; 0 for
        connections without a proxy.
    """

    share: float = 1.0
    delay_ms: float = 0.0


class Machines:
    """Runs the programs that limit the daemons of a deployment; a context manager.

    Attributes
    ----------
    caller_addresses : dict of str to str
        Address at which callers reach each entry.
    """

    def __init__(
        self, deployment: Deployment, limits: MachineLimits, seed: int
    ) -> None:
        entries = deployment.entries
        self.caller_addresses = {name: deployment.addresses[name] for name in entries}
        self._deployment = deployment
        self._limits = limits
        self._targets = deployment.folder / "quota-targets.json"
        self._without_quota: set[str] = set()
        self._lock = threading.Lock()
        self._quota = self._make_program(
            "quota",
            [str(self._targets), "--share", str(limits.share), "--seed", str(seed)],
        )
        pairs = [f"{name}={self.caller_addresses[name]}" for name in entries]
        self._links = self._make_program(
            "links",
            ["--delay-ms", str(limits.delay_ms), "--seed", str(seed), "--", *pairs],
        )

    def __enter__(self) -> Self:
        """Start the programs that the limits need."""
        if self._limits.share < 1.0:
            self.update_quota()
            self._quota.start()
            self._quota.wait_ready()
        if self._limits.delay_ms:
            self._links.start()
            self.caller_addresses = self._links.wait_ready()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the programs; processes that stand still go on."""
        for program in (self._quota, self._links):
            if program.is_running:
                program.request_stop()
                program.wait_for_exit()

    def _make_program(self, name: str, arguments: list[str]) -> ManagedProcess:
        command = [sys.executable, "-m", f"chestnutvale.soak.{name}", *arguments]
        return ManagedProcess(name, command, self._deployment.folder)

    def update_quota(self) -> None:
        """Apply the quota to the daemons that run now."""
        with self._lock:
            daemons = self._deployment.controls | self._deployment.entries
            running = {
                name: process.pid
                for name, process in daemons.items()
                if process.is_running and name not in self._without_quota
            }
            new = self._targets.with_suffix(".new")
            new.write_text(json.dumps(running))
            new.rename(self._targets)

    @contextlib.contextmanager
    def without_quota(self, name: str) -> Iterator[None]:
        """Leave a daemon alone within the context, so that it can be suspended."""
        if self._limits.share >= 1.0:
            yield
            return
        self._without_quota.add(name)
        self.update_quota()
        time.sleep(QUOTA_UPDATE_S)
        try:
            yield
        finally:
            self._without_quota.discard(name)
            self.update_quota()

    def reset_links(self) -> None:
        """Reset some of the connections of callers, if there are links."""
        if self._links.is_running:
            os.kill(self._links.pid, signal.SIGUSR1)
