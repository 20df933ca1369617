"""Indexed view of a configuration text, for look-ups on every request."""

import hashlib
import hmac
import posixpath
import urllib.parse
from collections.abc import Container
from typing import Self

import attrs

from chestnutvale.configuration.const import METHOD_ANY, REPEATABLE_METHODS
from chestnutvale.configuration.dependencies import (
    compute_start_order,
    find_all_dependencies,
)
from chestnutvale.schema.configuration_pb2 import Service, Text, Workspace

_DIGEST_PREFIX_BYTES = 8


@attrs.frozen
class WorkspaceAccess:
    """Weight and access rights of a workspace.

    Attributes
    ----------
    name : str
        Name of the workspace in the text.
    weight : int
        Share of capacity relative to other workspaces.
    services : frozenset of str
        Services that the workspace may call; empty allows all.
    """

    name: str
    weight: int
    services: frozenset[str]

    def allows(self, service: str) -> bool:
        """Return whether the workspace may call a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            True if it is listed, or if the workspace lists no services.
        """
        return not self.services or service in self.services


def hash_key(key: str) -> str:
    """Return the digest that a text stores in place of a workspace key.

    Parameters
    ----------
    key : str
        The secret key.

    Returns
    -------
    str
        SHA-256 digest as 64 hexadecimal digits.
    """
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()


@attrs.frozen
class TextLookup:
    """Indexes of one text, built once when the text comes into force.

    Attributes
    ----------
    number : int
        Number of the text.
    services : dict of str to Service
        The services by name.
    workspaces : dict of str to WorkspaceAccess
        The workspaces by name.
    start_order : tuple of str
        Service names, each after its dependencies.
    """

    number: int
    services: dict[str, Service]
    workspaces: dict[str, WorkspaceAccess]
    start_order: tuple[str, ...]
    _graph: dict[str, tuple[str, ...]]
    _keys: dict[bytes, list[tuple[bytes, str]]]
    _dependency_cache: dict[str, frozenset[str]] = attrs.field(factory=dict)

    @classmethod
    def from_text(cls, text: Text) -> Self:
        """Build the indexes of a text.

        Parameters
        ----------
        text : Text
            A text that `parse_text` returned.

        Returns
        -------
        TextLookup
            The indexes.
        """
        services = dict(text.services.items())
        graph = {name: tuple(item.depends_on) for name, item in services.items()}
        return cls(
            number=text.number,
            services=services,
            workspaces={
                name: WorkspaceAccess(
                    name, workspace.weight, frozenset(workspace.services)
                )
                for name, workspace in text.workspaces.items()
            },
            start_order=compute_start_order(graph),
            graph=graph,
            keys=_index_keys(dict(text.workspaces.items())),
        )

    def find_workspace_by_key(self, key: str) -> WorkspaceAccess | None:
        """Find the workspace that a bearer key belongs to.

        Candidates are found by the first bytes of the key's digest, which reveal
        nothing about the key itself, and then compared in constant time.

        Parameters
        ----------
        key : str
            The secret key as the caller sent it.

        Returns
        -------
        WorkspaceAccess or None
            None if no workspace has this key.
        """
        digest = bytes.fromhex(hash_key(key))
        found: str | None = None
        for known, name in self._keys.get(digest[:_DIGEST_PREFIX_BYTES], ()):
            if hmac.compare_digest(known, digest):
                found = name
        return self.workspaces[found] if found is not None else None

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Return whether a call of a plain service may be executed more than once.

        The first matching rule decides; without one, only ``REPEATABLE_METHODS`` are
        repeatable. A path that is not normalised (percent-encoding, doubled slashes,
        dot segments) is repeatable only if its normalised form is as well, so that no
        spelling bypasses a rule.

        Parameters
        ----------
        service : str
            Name of the service.
        method : str
            The HTTP method.
        path : str
            Path below the service, with a leading slash and without the query.

        Returns
        -------
        bool
            True if it is safe to repeat; False for an unknown service.
        """
        known = self.services.get(service)
        if known is None:
            return False
        paths = {path, _normalise_path(path)}
        return all(_is_call_repeatable(known, method.upper(), item) for item in paths)

    def missing_dependencies(
        self, service: str, serving: Container[str]
    ) -> tuple[str, ...]:
        """Return the dependencies of a service that are not serving.

        Parameters
        ----------
        service : str
            Name of the service.
        serving : container of str
            Services with at least one serving group.

        Returns
        -------
        tuple of str
            Direct and indirect dependencies that are down, in start order.
        """
        if not self._graph.get(service):
            return ()
        needed = self._get_dependencies(service)
        return tuple(
            name for name in self.start_order if name in needed and name not in serving
        )

    def _get_dependencies(self, service: str) -> frozenset[str]:
        # Computed on first use: for every service of a deep graph this takes seconds.
        if service not in self._dependency_cache:
            self._dependency_cache[service] = find_all_dependencies(
                service, self._graph
            )
        return self._dependency_cache[service]


def _index_keys(
    workspaces: dict[str, Workspace],
) -> dict[bytes, list[tuple[bytes, str]]]:
    index: dict[bytes, list[tuple[bytes, str]]] = {}
    for name, workspace in workspaces.items():
        for item in workspace.key_sha256:
            digest = bytes.fromhex(item)
            index.setdefault(digest[:_DIGEST_PREFIX_BYTES], []).append((digest, name))
    return index


def _normalise_path(path: str) -> str:
    decoded = urllib.parse.unquote(path)
    plain = posixpath.normpath("/" + decoded.lstrip("/"))
    return plain + "/" if decoded.endswith("/") and plain != "/" else plain


def _is_call_repeatable(service: Service, method: str, path: str) -> bool:
    for rule in service.calls:
        method_fits = rule.method in (METHOD_ANY, method)
        if method_fits and path.startswith(rule.path_prefix):
            return rule.repeatable
    return method in REPEATABLE_METHODS
