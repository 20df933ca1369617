"""Algorithms on the dependency graph of services."""

from collections.abc import Iterable, Mapping

Graph = Mapping[str, Iterable[str]]


def find_cycle(graph: Graph) -> tuple[str, ...]:
    """Find a cycle in a dependency graph.

    Parameters
    ----------
    graph : mapping of str to iterable of str
        Direct dependencies by name; dependencies that are not keys are ignored.

    Returns
    -------
    tuple of str
        The names along the cycle, with the first one repeated at the end; empty if
        there is no cycle.
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
    path = [root]
    on_path = {root}
    pending = [iter(sorted(graph[root]))]
    while path:
        name = next(pending[-1], None)
        if name is None:
            done = path.pop()
            on_path.remove(done)
            finished.add(done)
            pending.pop()
        elif name in on_path:
            return (*path[path.index(name) :], name)
        elif name in graph and name not in finished:
            path.append(name)
            on_path.add(name)
            pending.append(iter(sorted(graph[name])))
    return ()


def compute_start_order(graph: Graph) -> tuple[str, ...]:
    """Sort names topologically, so that each follows its dependencies.

    Parameters
    ----------
    graph : mapping of str to iterable of str
        Direct dependencies by name; must be acyclic.

    Returns
    -------
    tuple of str
        All keys of the graph; names of equal depth are in alphabetical order.
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


def find_all_dependencies(name: str, graph: Graph) -> frozenset[str]:
    """Find the direct and indirect dependencies of a name.

    Parameters
    ----------
    name : str
        The name; if it is not a key, it has no dependencies.
    graph : mapping of str to iterable of str
        Direct dependencies by name.

    Returns
    -------
    frozenset of str
        The dependencies, without the name itself.
    """
    found: set[str] = set()
    pending = list(graph.get(name, ()))
    while pending:
        item = pending.pop()
        if item not in found:
            found.add(item)
            pending.extend(graph.get(item, ()))
    return frozenset(found - {name})
