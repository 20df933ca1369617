"""Program that emulates engine hosts, one or many in a process."""

import os
from contextlib import ExitStack

import attrs
import defopt
import eventlet
import logbook

from chestnutvale.emulator.batch_engine import EngineModel
from chestnutvale.emulator.const import EXIT_CRASHED
from chestnutvale.emulator.host import EmulatedHost, HostOptions
from chestnutvale.emulator.runtime import run_until_stopped, setup_eventlet

_LOGGER = logbook.Logger(__name__)


def crash_process() -> None:
    """End the process as a crash would, without any clean-up."""
    os._exit(EXIT_CRASHED)


def start_hosts(
    options: HostOptions, count: int, stack: ExitStack
) -> list[EmulatedHost]:
    """Start one or many hosts in this process.

    Parameters
    ----------
    options : HostOptions
        Options of the first; many get a number behind the name and free ports.
    count : int
        Number of hosts. One alone takes the process with it when it crashes.
    stack : ExitStack
        Ends the hosts.

    Returns
    -------
    list of EmulatedHost
        The hosts.
    """
    if count == 1:
        return [stack.enter_context(EmulatedHost(options, crash_process))]
    address = f"{options.address.rpartition(':')[0]}:0"
    hosts: list[EmulatedHost] = []
    for number in range(1, count + 1):
        host_options = attrs.evolve(
            options, host_id=f"{options.host_id}-{number}", address=address
        )
        host_cell: list[EmulatedHost] = []
        host = EmulatedHost(
            host_options, lambda host_cell=host_cell: _stop_crashed_host(host_cell)
        )
        host_cell.append(host)
        hosts.append(stack.enter_context(host))
    return hosts


def _stop_crashed_host(host_cell: list[EmulatedHost]) -> None:
    _LOGGER.warning("Host {} crashes", host_cell[0].options.host_id)
    eventlet.spawn(host_cell[0].__exit__, None, None, None)


def run(
    *,
    host_id: str,
    entries: list[str],
    address: str = "127.0.0.1:0",
    hosts: int = 1,
    data_centre: str = "dc-1",
    fabric_domain: str = "fabric-a",
    accelerators: int = 4,
    fencing: bool = True,
    weights_bytes: int = 4_000_000,
    load_lag_ms: int = 500,
    cache_lag_ms: int = 1_000,
    cache_gap_share: float = 0.05,
    kv_capacity_tokens: int = 32_768,
    max_running_requests: int = 64,
    max_waiting_requests: int = 64,
    prefill_us_per_token: float = 20.0,
    step_ms: float = 10.0,
    step_us_per_request: float = 20.0,
    seed: int = 1,
) -> None:
    """Run emulated engine hosts until SIGTERM.

    Parameters
    ----------
    host_id : str
        Identity of the host; with many hosts the start of each identity.
    entries : list[str]
        IP number and port of each entry.
    address : str
        IP number and port of the host's door; port 0 takes a free one.
    hosts : int
        Hosts in this process.
    data_centre : str
        Data centre that is announced.
    fabric_domain : str
        Fabric domain that is announced.
    accelerators : int
        Accelerators that are announced.
    fencing : bool
        Whether old orders are refused.
    weights_bytes : int
        Size of one rank's part of the weights.
    load_lag_ms : int
        Age of reported load.
    cache_lag_ms : int
        Age of cache events.
    cache_gap_share : float
        Share of cache events that are lost, between 0 and 1.
    kv_capacity_tokens : int
        Memory for prompts and answers.
    max_running_requests : int
        Requests that share a step.
    max_waiting_requests : int
        Requests that may wait.
    prefill_us_per_token : float
        Time for one prompt token.
    step_ms : float
        Time of one decoding step.
    step_us_per_request : float
        Time that each running request adds to a step.
    seed : int
        Seed of all random choices.
    """
    setup_eventlet()
    model = EngineModel(
        kv_capacity_tokens=kv_capacity_tokens,
        max_running_requests=max_running_requests,
        max_waiting_requests=max_waiting_requests,
        prefill_us_per_token=prefill_us_per_token,
        step_ms=step_ms,
        step_us_per_request=step_us_per_request,
    )
    options = HostOptions(
        host_id=host_id,
        address=address,
        entries=entries,
        data_centre=data_centre,
        fabric_domain=fabric_domain,
        accelerators=accelerators,
        fencing=fencing,
        weights_bytes=weights_bytes,
        load_lag_s=load_lag_ms / 1e3,
        cache_lag_s=cache_lag_ms / 1e3,
        cache_gap_share=cache_gap_share,
        seed=seed,
        model=model,
    )
    with ExitStack() as stack:
        started_hosts = start_hosts(options, hosts, stack)
        addresses = {host.options.host_id: host.address for host in started_hosts}
        run_until_stopped({"address": started_hosts[0].address, "hosts": addresses})


def main() -> None:
    """Run the console script."""
    defopt.run(run)
