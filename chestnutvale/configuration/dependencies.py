"""The graph of what each service depends on."""

from collections.abc import Iterable, Mapping

Graph = Mapping[str, Iterable[str]]


def find_cycle(graph: Graph) -> tuple[str, ...]:
    """Return one cycle of a graph.

    Parameters
    ----------
    graph : mapping of str to iterable of str
        What each name depends on; names that are no key are passed over.

    Returns
    -------
    tuple of str
        The names along the cycle, the first one again at the end; empty if there is
        no cycle.
    """
    finished: set[str] = set()
    for root in sorted(graph):
        cycle = _find_cycle_from(root, graph, finished)
        if cycle:
            return cycle
    return ()


def _find_cycle_from(root: str, graph: Graph, finished: set[str]) -> tuple[str, ...]:
    if root in finished:
        return ()
    trail = [root]
    on_trail = {root}
    pending = [iter(sorted(graph[root]))]
    while trail:
        name = next(pending[-1], None)
        if name is None:
            done = trail.pop()
            on_trail.remove(done)
            finished.add(done)
            pending.pop()
        elif name in on_trail:
            return (*trail[trail.index(name) :], name)
        elif name in graph and name not in finished:
            trail.append(name)
            on_trail.add(name)
            pending.append(iter(sorted(graph[name])))
    return ()


def compute_start_order(graph: Graph) -> tuple[str, ...]:
    """Return all names so that each one comes after what it depends on.

    Parameters
    ----------
    graph : mapping of str to iterable of str
        What each name depends on; must hold no cycle.

    Returns
    -------
    tuple of str
        The names; those of equal depth are in alphabetical order.
    """
    depths: dict[str, int] = {}
    for name in sorted(graph):
        _compute_depths(name, graph, depths)
    return tuple(sorted(depths, key=lambda name: (depths[name], name)))


def _compute_depths(root: str, graph: Graph, depths: dict[str, int]) -> None:
    stack = [root]
    while stack:
        name = stack[-1]
        known = [item for item in graph[name] if item in graph]
        missing = [item for item in known if item not in depths]
        if missing:
            stack.extend(missing)
            continue
        stack.pop()
        depths[name] = 1 + max((depths[item] for item in known), default=-1)


def all_dependencies(name: str, graph: Graph) -> frozenset[str]:
    """Return what a name depends on, directly and through others.

    Parameters
    ----------
    name : str
        The name.
    graph : mapping of str to iterable of str
        What each name depends on.

    Returns
    -------
    frozenset of str
        The names, without the given one.
    """
    found: set[str] = set()
    pending = list(graph.get(name, ()))
    while pending:
        item = pending.pop()
        if item not in found:
            found.add(item)
            pending.extend(graph.get(item, ()))
    return frozenset(found - {name})
