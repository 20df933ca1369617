"""Faults that can be injected into an emulated host."""

import math
import time
from collections.abc import Callable
from typing import Any

import attrs
import eventlet

from chestnutvale.emulator.const import CODE_BAD_REQUEST
from chestnutvale.emulator.exceptions import RefusedError

FAULT_PAUSE = "pause"
FAULT_SLOW = "slow"
FAULT_CRASH = "crash"
FAULT_CUT = "cut"
FAULT_DROP_CACHE_EVENTS = "drop_cache_events"
FAULT_NONE = "none"

PAUSE_CHECK_INTERVAL_S = 0.02


@attrs.define
class Faults:
    """The injected faults of one host.

    Attributes
    ----------
    is_paused : bool
        Whether the host makes no progress and answers no request except faults.
    is_cut : bool
        Whether announcements are lost; everything else works.
    drops_cache_events : bool
        Whether cache events are lost, which leaves a gap in their sequence.
    slow_factor : float
        Factor, at least 1, by which the engine's steps take longer.
    """

    _on_crash: Callable[[], None]
    is_paused: bool = False
    is_cut: bool = False
    drops_cache_events: bool = False
    slow_factor: float = 1.0
    _pause_until_s: float = attrs.field(default=math.inf, init=False)

    def set_fault(self, data: dict[str, Any]) -> None:
        """Inject a fault; the kind ``none`` clears all faults.

        Parameters
        ----------
        data : dict
            Request body with ``kind``, with ``factor`` for the kind ``slow``, and
            optionally with ``for_ms`` for the kind ``pause``.

        Raises
        ------
        RefusedError
            If the kind is unknown, the factor is not a number of at least 1, or the
            duration is not a positive whole number.
        """
        kind = data.get("kind")
        if kind == FAULT_PAUSE:
            self._pause_until_s = _parse_pause_end_s(data)
            self.is_paused = True
        elif kind == FAULT_SLOW:
            self.slow_factor = _parse_slow_factor(data)
        elif kind == FAULT_CRASH:
            self._on_crash()
        elif kind == FAULT_CUT:
            self.is_cut = True
        elif kind == FAULT_DROP_CACHE_EVENTS:
            self.drops_cache_events = True
        elif kind == FAULT_NONE:
            self.is_paused = False
            self.is_cut = False
            self.drops_cache_events = False
            self.slow_factor = 1.0
        else:
            raise RefusedError(400, CODE_BAD_REQUEST, f"unknown fault kind {kind!r}")

    def check_paused(self) -> bool:
        """Return whether the host is paused; end a pause whose duration has passed."""
        if self.is_paused and time.monotonic() >= self._pause_until_s:
            self.is_paused = False
        return self.is_paused

    def wait_while_paused(self) -> None:
        """Block the calling green thread until the host is no longer paused."""
        while self.check_paused():
            eventlet.sleep(PAUSE_CHECK_INTERVAL_S)


def _parse_pause_end_s(data: dict[str, Any]) -> float:
    for_ms = data.get("for_ms")
    if for_ms is None:
        return math.inf
    if not isinstance(for_ms, int) or for_ms <= 0:
        raise RefusedError(
            400, CODE_BAD_REQUEST, "field 'for_ms' must be a positive whole number"
        )
    return time.monotonic() + for_ms / 1e3


def _parse_slow_factor(data: dict[str, Any]) -> float:
    factor = data.get("factor")
    if not isinstance(factor, int | float) or factor < 1:
        raise RefusedError(
            400, CODE_BAD_REQUEST, "field 'factor' must be a number of at least 1"
        )
    return float(factor)
