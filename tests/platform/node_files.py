"""Settings files of the platform for programs that run on loopback."""

from pathlib import Path

CONTROL_PORT = 8229
CALLER_PORT = 8227
READINESS_PORT = 8220
_COMMON = """\
nodeName={name}
ipAddress={address}
zone=a
region=r
internalPortRange=7340,7355
seedNodes={controls}
bootstrap=true
limits.fileDescriptors=1570
faultTolerance.machines=0
heartbeatIntervalMs=1200
bounds.gracePeriodS=8
bounds.revokeMs=5000
bounds.stallMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryBudgetExtra=223
bounds.budgetWindowS=10
"""


def write_control_file(folder: Path, name: str, address: str) -> Path:
    """Write the file of the only control of a deployment and return its path."""
    data = folder / f"{name}-data"
    data.mkdir(parents=True, exist_ok=True)
    return _write(
        folder,
        name,
        address,
        address,
        f"listenAddresses.controlPlane={address}:{CONTROL_PORT}\ndataDirectory={data}\n",
    )


def write_entry_file(folder: Path, name: str, address: str, control: str) -> Path:
    """Write the file of an entry and return its path."""
    return _write(
        folder,
        name,
        address,
        control,
        f"listenAddresses.frontend={address}:{CALLER_PORT}\n"
        f"listenAddresses.readiness={address}:{READINESS_PORT}\n",
    )


def _write(folder: Path, name: str, address: str, control: str, rest: str) -> Path:
    path = folder / f"{name}.conf"
    common = _COMMON.format(
        name=name, address=address, controls=f"{control}:{CONTROL_PORT}"
    )
    path.write_text(common + rest)
    return path
