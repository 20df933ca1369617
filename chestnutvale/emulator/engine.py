"""Program that runs one or more emulated engine hosts in a process."""

import os
from contextlib import ExitStack

import attrs
import defopt
import eventlet
import logbook

from chestnutvale.emulator.batch_engine import EngineModel
from chestnutvale.emulator.const import EXIT_CODE_CRASHED
from chestnutvale.emulator.host import EmulatedHost, HostOptions
from chestnutvale.emulator.runtime import run_until_stopped, setup_eventlet

_LOGGER = logbook.Logger(__name__)


def crash_process() -> None:
    """Exit with `EXIT_CODE_CRASHED` and without clean-up, as after a crash."""
    os._exit(EXIT_CODE_CRASHED)


def start_hosts(
    options: HostOptions, count: int, stack: ExitStack
) -> list[EmulatedHost]:
    """Start one or more hosts in this process.

    Parameters
    ----------
    options : HostOptions
        Options of the host. With several hosts each gets the identifier with its
        number appended, and a free port.
    count : int
        Number of hosts. A single host ends the process when it crashes; one of
        several is only stopped.
    stack : ExitStack
        Exit stack that stops the hosts.

    Returns
    -------
    list of EmulatedHost
        The started hosts.
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
    _LOGGER.warning(
        "Host {} crashes; stopping it, the other hosts go on",
        host_cell[0].options.host_id,
    )
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
    cold_start_ms: int = 0,
    seed: int = 1,
) -> None:
    """Run emulated engine hosts until SIGTERM.

    Parameters
    ----------
    host_id : str
        Identifier of the host; with several hosts the prefix of each identifier.
    entries : list[str]
        IP address and port of each entry.
    address : str
        IP address and port to listen on; port 0 selects a free port.
    hosts : int
        Number of hosts in this process.
    data_centre : str
        Data centre of the host.
    fabric_domain : str
        Fabric domain of the host.
    accelerators : int
        Number of accelerators of the host.
    fencing : bool
        Whether orders with an old fencing token are refused.
    weights_bytes : int
        Size in bytes of the part of the weights that one rank loads.
    load_lag_ms : int
        Age in milliseconds of the reported load.
    cache_lag_ms : int
        Delay in milliseconds of cache events.
    cache_gap_share : float
        Probability, from 0 to 1, that a report of cache events is lost.
    kv_capacity_tokens : int
        Size of the KV cache in tokens.
    max_running_requests : int
        Maximum number of requests in the batch.
    max_waiting_requests : int
        Maximum number of queued requests.
    prefill_us_per_token : float
        Prefill time of one prompt token in microseconds.
    step_ms : float
        Fixed duration of one decoding step in milliseconds.
    step_us_per_request : float
        Time in microseconds that each decoding request adds to a step.
    cold_start_ms : int
        Time in milliseconds after the start for which it announces that it is cold.
    seed : int
        Seed of the random choices.
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
        cold_start_ms=cold_start_ms,
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
    """Parse the command line and run the hosts."""
    defopt.run(run)
