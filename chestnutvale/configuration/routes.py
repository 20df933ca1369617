"""Routes: which service takes a call that names a host and a path."""

import random
from collections.abc import Iterator
from typing import Self

import attrs

from chestnutvale.configuration.const import MAX_ROUTES, ROUTE_KINDS
from chestnutvale.schema.configuration_pb2 import Route, Text

RoutePath = tuple[str | int, ...]


def find_route_faults(text: Text) -> Iterator[tuple[RoutePath, str]]:
    """Find what is wrong with the routes of a text.

    Parameters
    ----------
    text : Text
        The text.

    Yields
    ------
    tuple of (tuple, str)
        Path of the field and the reason.
    """
    if len(text.routes) > MAX_ROUTES:
        yield ("routes",), f"holds more than {MAX_ROUTES} routes"
        return
    targets = set(text.services) | {item.pool for item in text.services.values()}
    seen: set[tuple[str, str]] = set()
    for position, route in enumerate(text.routes):
        path = ("routes", position)
        for field, reason in _find_field_faults(route, targets):
            yield (*path, field), reason
        place = (route.host.lower(), route.path_prefix)
        if place in seen:
            yield path, "has the host and the prefix of an earlier route"
        seen.add(place)


def _find_field_faults(route: Route, targets: set[str]) -> Iterator[tuple[str, str]]:
    if route.kind not in ROUTE_KINDS:
        yield "kind", f"must be one of {', '.join(ROUTE_KINDS)}"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield "path_prefix", "must begin and end with '/'"
    if route.timeout_ms == 0:
        yield "timeout_ms", "must be above zero"
    if sum(share.weight for share in route.shares) == 0:
        yield "shares", "must add up to more than zero"
    for share in route.shares:
        if not share.service or share.service not in targets:
            yield "shares", f"unknown service {share.service!r}"


@attrs.frozen
class RouteTable:
    """Finds the route of a call; made once when a text comes into force.

    Attributes
    ----------
    targets : dict of str to dict of str to str
        By pool, the service of each model; a service without a pool has itself.
    """

    targets: dict[str, dict[str, str]]
    _by_host: dict[str, dict[str, Route]]

    @classmethod
    def from_text(cls, text: Text) -> Self:
        """Make the table of a text.

        Parameters
        ----------
        text : Text
            A text without faults.

        Returns
        -------
        RouteTable
            The table.
        """
        by_host: dict[str, dict[str, Route]] = {}
        for route in text.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        targets: dict[str, dict[str, str]] = {}
        for name, service in text.services.items():
            targets.setdefault(service.pool or name, {})[service.model] = name
        return cls(targets, by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Parameters
        ----------
        host : str
            Host name of the call, with or without a port.
        path : str
            Path of the call without its query.

        Returns
        -------
        Route or None
            None if no route fits.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def choose_service(
        self, route: Route, model: str, rng: random.Random
    ) -> str | None:
        """Choose the service that takes a call, by the weights of the route.

        Parameters
        ----------
        route : Route
            Route of the call.
        model : str
            Model that the call names; empty for a plain service.
        rng : random.Random
            Source of the choice.

        Returns
        -------
        str or None
            None if no service of the route has the model.
        """
        shares = [share for share in route.shares if share.weight]
        weights = [share.weight for share in shares]
        target = rng.choices(shares, weights)[0].service
        models = self.targets.get(target, {})
        if model in models:
            return models[model]
        return models.get("")
