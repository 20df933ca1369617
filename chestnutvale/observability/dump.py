"""Dump of the state of a process, collected from its components."""

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from chestnutvale.observability.redaction import redact_secrets

_LOGGER = logbook.Logger(__name__)


class DumpRegistry:
    """Collects the state of a process from its components.

    Parameters
    ----------
    sources : mapping of str to callable
        For each key of the dump, a function that returns its value as JSON data or
        as Protobuf messages.
    """

    def __init__(self, sources: Mapping[str, Callable[[], Any]]) -> None:
        self._sources = sources

    def dump(self) -> dict[str, Any]:
        """Collect the state from all sources.

        Returns
        -------
        dict
            State by source name, without secrets; for a source that raised, a mapping
            with the key ``error``.
        """
        return {name: self._read_source(name) for name in self._sources}

    def _read_source(self, name: str) -> Any:
        try:
            return redact_secrets(self._sources[name]())
        except Exception as error:
            # The other sources help to diagnose the failure.
            _LOGGER.exception("Failed to dump the state of {}", name)
            return {"error": f"{type(error).__name__}: {error}"}
