"""Changes of each field of the configuration, as functions on the new text."""

from collections.abc import Callable

import attrs

from chestnutvale.configuration.const import MAX_ROUTES
from chestnutvale.configuration.lookup import hash_key
from chestnutvale.schema.configuration_pb2 import RouteShare, Service, Text
from tests.programs.entry.routed.changes.fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_route,
    make_text,
)
from tests.programs.entry.routed.routed_fakes import API_KEY

Step = Callable[[Text], None]
OK = frozenset({200})
NOT_FOUND, UNAUTHORIZED = frozenset({404}), frozenset({401})
# The status of all other refusals in the tests' protocol.
NOT_RUN = frozenset({503})
REFUSED = NOT_FOUND | UNAUTHORIZED | NOT_RUN


@attrs.frozen
class Change:
    """One or several texts that come into force shortly after each other.

    Attributes
    ----------
    name : str
        What changes.
    steps : tuple of callable
        Make the next text out of the one in force.
    next_statuses : frozenset of int
        Statuses that a call may get which is decided under the last text.
    gone : frozenset of str
        Services that the last text no longer has; a call that waits for one is refused.
    away : frozenset of str
        Services that a text before the last one lacks; a call that waits for one may be
        refused.
    unserved : frozenset of str
        Services whose calls the last text refuses.
    """

    name: str
    steps: tuple[Step, ...]
    next_statuses: frozenset[int] = OK
    gone: frozenset[str] = frozenset()
    away: frozenset[str] = frozenset()
    unserved: frozenset[str] = frozenset()

    def find_next_statuses(self, service):
        """Return the statuses of calls to a service that begin after the change."""
        return NOT_RUN if service in self.unserved else self.next_statuses


def set_routes(**fields):
    def step(text):
        for route in text.routes:
            for name, value in fields.items():
                setattr(route, name, value)

    return step


def set_services(**fields):
    def step(text):
        for service in text.services.values():
            for name, value in fields.items():
                setattr(service, name, value)

    return step


def set_service_limits(**fields):
    def step(text):
        for service in text.services.values():
            for name, value in fields.items():
                setattr(service.limits, name, value)

    return step


def set_caller_limits(**fields):
    def step(text):
        for name, value in fields.items():
            setattr(text.caller_limits, name, value)

    return step


def set_workspace(**fields):
    def step(text):
        for name, value in fields.items():
            setattr(text.workspaces["ws-1"], name, value)

    return step


def set_kinds(streaming, repeatable, once):
    kinds = {"streaming": streaming, "repeatable": repeatable, "once": once}

    def step(text):
        for route in text.routes:
            route.kind = kinds[route.kind]

    return step


def restore(text):
    number = text.number
    text.CopyFrom(make_text())
    text.number = number


def drop_routes(text):
    del text.routes[:]


def move_routes(text):
    add_twins(text)
    for route in text.routes:
        del route.shares[:]
        service = "gpu2" if route.kind == "streaming" else "app2"
        route.shares.append(RouteShare(service=service, weight=1))


def move_streams_to_plain_service(text):
    for route in text.routes:
        route.shares[0].service = PLAIN_SERVICE


def move_other_calls_to_pool(text):
    for route in text.routes:
        route.shares[0].service = "gpu"


def split_routes(text):
    add_twins(text)
    for route in text.routes:
        service = "gpu2" if route.kind == "streaming" else "app2"
        route.shares.append(RouteShare(service=service, weight=1))


def narrow_routes(text):
    add_twins(text)
    for route in list(text.routes):
        service = "gpu2" if route.kind == "streaming" else "app2"
        narrow = make_route(f"{route.path_prefix}x/", route.kind, service)
        text.routes.append(narrow)


def add_twins(text):
    model = Service(kind="model", model="m", pool="gpu2", work_share=1.0)
    text.services["gpu2-m"].CopyFrom(model)
    text.services["app2"].CopyFrom(Service(kind="plain"))


def replace_services(text):
    move_routes(text)
    drop_services(text, MODEL_SERVICE, PLAIN_SERVICE)


def drop_services(text, *names):
    for name in names or (MODEL_SERVICE, PLAIN_SERVICE):
        del text.services[name]


def drop_model(text):
    drop_services(text, MODEL_SERVICE)


def drop_plain_service(text):
    drop_services(text, PLAIN_SERVICE)


def rename_model(text):
    model = Service()
    model.CopyFrom(text.services[MODEL_SERVICE])
    model.model = "n"
    drop_model(text)
    text.services["gpu-n"].CopyFrom(model)


def add_model(text):
    model = Service(kind="model", model="n", pool="gpu", work_share=9.0)
    model.hosts_per_group = 1
    text.services["gpu-n"].CopyFrom(model)


def take_key(text):
    del text.workspaces["ws-1"].key_sha256[:]


def move_key(text):
    take_key(text)
    text.workspaces["ws-2"].key_sha256.append(hash_key(API_KEY))


def drop_workspace(text):
    del text.workspaces["ws-1"]


def drop_workspaces(text):
    text.workspaces.clear()


def add_routes(count):
    def step(text):
        for number in range(count):
            text.routes.append(make_route(f"/more/{number}/", "once", PLAIN_SERVICE))

    return step


def add_workspaces(text):
    for number in range(1_000):
        text.workspaces[f"more-{number}"].weight = 1


# Built once, as it takes a second.
_LARGE_TEXT = Text()


def make_large(text):
    if not _LARGE_TEXT.routes:
        _LARGE_TEXT.CopyFrom(make_text())
        add_routes(MAX_ROUTES - len(_LARGE_TEXT.routes))(_LARGE_TEXT)
        add_workspaces(_LARGE_TEXT)
    number = text.number
    text.CopyFrom(_LARGE_TEXT)
    text.number = number


SHORT_MS = 1
LONG_MS = 60_000
MODEL = frozenset({MODEL_SERVICE})
BOTH = frozenset({MODEL_SERVICE, PLAIN_SERVICE})
CHANGES = [
    Change("nothing", (lambda text: None,)),
    # A call of a millisecond may end in time, or at its deadline.
    Change(
        "shorter timeout",
        (set_routes(timeout_ms=SHORT_MS),),
        frozenset({200, 502, 503}),
    ),
    Change("longer timeout", (set_routes(timeout_ms=LONG_MS),)),
    Change("shorter timeout and back", (set_routes(timeout_ms=SHORT_MS), restore)),
    Change("one attempt", (set_routes(max_attempts=1),)),
    Change("one attempt and back", (set_routes(max_attempts=1), restore)),
    Change("many attempts", (set_routes(max_attempts=9),)),
    Change("not resumable", (set_routes(is_resumable=False),)),
    Change("resumable", (set_routes(is_resumable=True),)),
    Change("streams become other calls", (set_kinds("once", "once", "repeatable"),)),
    Change(
        "other calls become streams",
        (set_kinds("repeatable", "streaming", "streaming"),),
        # What a plain service answers is no stream.
        frozenset({200, 502}),
    ),
    Change("kinds and back", (set_kinds("once", "once", "repeatable"), restore)),
    Change("shorter latency", (set_routes(target_latency_ms=SHORT_MS),)),
    Change("no latency", (set_routes(target_latency_ms=0),)),
    Change("shorter gap", (set_routes(target_gap_ms=SHORT_MS),)),
    Change("longer gap", (set_routes(target_gap_ms=LONG_MS),)),
    Change("rank of routes", (set_routes(rank=9),)),
    Change("rank of workspace", (set_workspace(rank=0),)),
    Change("weight of workspace", (set_workspace(weight=10_000),)),
    Change("public", (set_routes(is_public=True),)),
    Change("routes leave", (drop_routes,), NOT_FOUND),
    Change("routes leave and return", (drop_routes, restore)),
    Change("routes move", (move_routes,)),
    Change("routes move and back", (move_routes, restore)),
    Change("streams move to a plain service", (move_streams_to_plain_service,)),
    Change(
        "other calls move to a pool",
        (move_other_calls_to_pool,),
        unserved=frozenset({PLAIN_SERVICE}),
    ),
    Change("routes are split", (split_routes,)),
    Change("narrower routes", (narrow_routes,)),
    Change("services leave", (drop_routes, drop_services), NOT_FOUND, BOTH),
    Change(
        "services leave and return", (drop_routes, drop_services, restore), away=BOTH
    ),
    Change("services are replaced", (replace_services,), OK, BOTH),
    Change("model leaves", (drop_model,), gone=MODEL, unserved=MODEL),
    Change(
        "model leaves and returns",
        (drop_model, restore),
        away=MODEL,
    ),
    Change("model is renamed", (rename_model,), gone=MODEL, unserved=MODEL),
    Change("another model", (add_model,)),
    Change("size of model", (set_services(hosts_per_group=4),)),
    Change("share", (set_services(work_share=0.01),)),
    Change("more places", (set_service_limits(max_running_requests=100),)),
    Change(
        "more places and back",
        (set_service_limits(max_running_requests=100), restore),
    ),
    Change("short queue", (set_service_limits(max_queued_requests=1),)),
    Change("workspace leaves", (drop_workspace,), UNAUTHORIZED),
    Change("workspace leaves and returns", (drop_workspace, restore)),
    Change("no workspaces", (drop_workspaces,)),
    Change("key is taken away", (take_key,), UNAUTHORIZED),
    Change("key moves", (move_key,)),
    Change("shorter idle timeout", (set_caller_limits(idle_timeout_ms=SHORT_MS),)),
    Change("shorter head timeout", (set_caller_limits(header_timeout_ms=SHORT_MS),)),
    Change("smaller head", (set_caller_limits(max_header_bytes=1),)),
    Change("smaller body", (set_caller_limits(max_body_bytes=1),), NOT_RUN),
    Change("350 routes", (add_routes(350),)),
    Change("350 routes and back", (add_routes(350), restore)),
    Change("large", (make_large,)),
    Change(
        "storm",
        (
            set_routes(timeout_ms=SHORT_MS, max_attempts=1, is_resumable=False),
            move_routes,
            drop_routes,
            drop_workspace,
            drop_model,
            set_caller_limits(idle_timeout_ms=SHORT_MS, max_body_bytes=1),
            restore,
        ),
        away=MODEL,
    ),
]
