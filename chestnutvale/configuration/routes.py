"""Routing table: select the service of a request by host and path prefix."""

import random
from collections.abc import Iterator
from typing import Self

import attrs

from chestnutvale.configuration.const import MAX_ROUTES, ROUTE_KINDS
from chestnutvale.configuration.service_names import find_listed_name
from chestnutvale.schema.configuration_pb2 import Route, Text

RoutePath = tuple[str | int, ...]


def find_route_faults(text: Text) -> Iterator[tuple[RoutePath, str]]:
    """Validate the routes of a text.

    Parameters
    ----------
    text : Text
        The text to validate.

    Yields
    ------
    tuple of (tuple, str)
        Path of the field and reason, for each fault.
    """
    if len(text.routes) > MAX_ROUTES:
        yield ("routes",), f"holds more than {MAX_ROUTES} routes"
        return
    targets = {find_listed_name(name, item) for name, item in text.services.items()}
    seen: set[tuple[str, str]] = set()
    for position, route in enumerate(text.routes):
        path = ("routes", position)
        for field, reason in _find_field_faults(route, targets):
            yield (*path, field), reason
        location = (route.host.lower(), route.path_prefix)
        if location in seen:
            yield path, "duplicates the host and path prefix of an earlier route"
        seen.add(location)


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
    """Routing table of one text, built once when the text comes into force.

    Attributes
    ----------
    targets : dict of str to dict of str to str
        Service name by pool and model; a service without a pool forms a pool of its
        own name.
    """

    targets: dict[str, dict[str, str]]
    _by_host: dict[str, dict[str, Route]]

    @classmethod
    def from_text(cls, text: Text) -> Self:
        """Build the table of a text.

        Parameters
        ----------
        text : Text
            A text in which `find_route_faults` found no fault.

        Returns
        -------
        RouteTable
            The routing table.
        """
        by_host: dict[str, dict[str, Route]] = {}
        for route in text.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        targets: dict[str, dict[str, str]] = {}
        for name, service in text.services.items():
            target = find_listed_name(name, service)
            targets.setdefault(target, {})[service.model] = name
        return cls(targets, by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port; case is ignored.
        path : str
            Path of the request, without the query.

        Returns
        -------
        Route or None
            None if no route matches.
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
        """Choose a service for a request at random, by the weights of its route.

        Parameters
        ----------
        route : Route
            Route of the request.
        model : str
            Model named in the request; empty for a plain service.
        rng : random.Random
            Random number generator for the choice.

        Returns
        -------
        str or None
            None if the chosen pool serves neither the model nor plain requests.
        """
        shares = [share for share in route.shares if share.weight]
        weights = [share.weight for share in shares]
        target = rng.choices(shares, weights)[0].service
        models = self.targets.get(target, {})
        if model in models:
            return models[model]
        return models.get("")
