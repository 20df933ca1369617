"""The dump of a process's state, put together from its parts."""

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from chestnutvale.observability.redaction import redact_secrets

_LOGGER = logbook.Logger(__name__)


class DumpRegistry:
    """The sources of a process's dump.

    Parameters
    ----------
    sources : mapping of str to callable
        For each member of the dump, what gives it as JSON data or messages.
    """

    def __init__(self, sources: Mapping[str, Callable[[], Any]]) -> None:
        self._sources = sources

    def dump(self) -> dict[str, Any]:
        """Return the state of all sources.

        Returns
        -------
        dict
            State by name, without secrets; a source that fails says so.
        """
        return {name: self._read_source(name) for name in self._sources}

    def _read_source(self, name: str) -> Any:
        try:
            return redact_secrets(self._sources[name]())
        except Exception as error:
            # The other sources are wanted all the more then.
            _LOGGER.exception("Dumping {} failed", name)
            return {"error": f"{type(error).__name__}: {error}"}
