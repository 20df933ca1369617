"""Compares direct calls of emulated engines with calls through one entry.

Both sides get the same seeded arrivals in the same run, one after the other; only the
difference between them is meaningful. Reports requests/s, the times to the first token
and between tokens, and the CPU time of the entry per token.
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs
import defopt
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from benchmarks.entry_overhead_worker import (
    WorkerPlan,
    make_histogram,
)
from chestnutvale.emulator.deployment import (
    MODEL_SERVICE,
    WORKSPACE_KEYS,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.processes import wait_until

ROOT = Path(__file__).resolve().parent.parent
WORKER = Path(__file__).with_name("entry_overhead_worker.py")
FOLDER = ROOT / "build" / "entry_overhead"
PERCENTILES = (50.0, 95.0, 99.0)
SIDES = ("engine", "entry")
# Time for the worker processes to start before the first request.
START_DELAY_S = 4.0


@attrs.frozen
class SideResult:
    """Measurements of one side."""

    side: str
    elapsed_s: float
    whole: int
    failures: dict[str, int]
    first: HdrHistogram
    gaps: HdrHistogram
    tokens: int
    late_s: float
    cpu_s: float
    resident_bytes: int

    def to_dict(self) -> dict[str, Any]:
        """Return the metrics; times in milliseconds."""
        metrics: dict[str, Any] = {
            "side": self.side,
            "whole": self.whole,
            "failures": self.failures,
            "requests_per_s": self.whole / self.elapsed_s,
            "tokens_per_s": self.tokens / self.elapsed_s,
            "tool_late_ms": self.late_s * 1e3,
        }
        for name, histogram in (("first", self.first), ("between", self.gaps)):
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                metrics[f"{name}_p{percentile:g}_ms"] = value_us / 1e3
        if self.cpu_s:
            metrics["entry_core_share"] = self.cpu_s / self.elapsed_s
            metrics["entry_us_per_token"] = self.cpu_s / max(1, self.tokens) * 1e6
            metrics["tokens_per_core_s"] = self.tokens / self.cpu_s
            metrics["entry_resident_mb"] = self.resident_bytes / 1e6
        return metrics


class Comparison:
    """Runs both sides against one deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment with one entry and groups of one host.
    rate_per_s, duration_s : float
        Arrivals per second, and duration of the load in seconds.
    tokens : int
        Number of tokens of each answer.
    workers : int
        Number of worker processes.
    seed : int
        Seed of the arrivals.
    """

    def __init__(
        self,
        deployment: Deployment,
        rate_per_s: float,
        duration_s: float,
        tokens: int,
        workers: int,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._rate_per_s = rate_per_s
        self._duration_s = duration_s
        self._tokens = tokens
        self._workers = workers
        self._seed = seed

    def run(self, side: str) -> SideResult:
        """Measure one side."""
        entry = self._deployment.entries["entry-1"]
        begin_s = time.monotonic() + START_DELAY_S
        plans = [
            WorkerPlan(
                side=side,
                targets=self._list_targets(side),
                rate_per_s=self._rate_per_s / self._workers,
                duration_s=self._duration_s,
                tokens=self._tokens,
                seed=self._seed * 1_000 + number,
                begin_s=begin_s,
            )
            for number in range(self._workers)
        ]
        command = [sys.executable, str(WORKER)]
        started = [
            subprocess.Popen(
                [*command, json.dumps(attrs.asdict(plan))], stdout=subprocess.PIPE
            )
            for plan in plans
        ]
        time.sleep(max(0.0, begin_s - time.monotonic()))
        before_s = entry.read_cpu_time_s()
        results = [json.loads(p.communicate(timeout=300)[0]) for p in started]
        cpu_s = entry.read_cpu_time_s() - before_s
        return self._merge(side, results, begin_s, cpu_s, entry.read_resident_bytes())

    def _list_targets(self, side: str) -> list[dict[str, Any]]:
        if side == "entry":
            return [{"address": self._deployment.addresses["entry-1"]}]
        return [
            {
                "address": self._deployment.addresses[name],
                "group_id": holding["group_id"],
                "epoch": int(holding["epoch"]),
            }
            for name, holding in self._deployment.fetch_holdings().items()
        ]

    def _merge(
        self,
        side: str,
        results: list[dict[str, Any]],
        begin_s: float,
        cpu_s: float,
        resident_bytes: int,
    ) -> SideResult:
        first = make_histogram()
        gaps = make_histogram()
        failures: dict[str, int] = {}
        for result in results:
            first.decode_and_add(result["first"].encode())
            gaps.decode_and_add(result["gaps"].encode())
            for name, count in result["failures"].items():
                failures[name] = failures.get(name, 0) + count
        whole = sum(result["whole"] for result in results)
        return SideResult(
            side=side,
            elapsed_s=max(result["ended_s"] for result in results) - begin_s,
            whole=whole,
            failures=failures,
            first=first,
            gaps=gaps,
            tokens=whole * self._tokens,
            late_s=max(result["late_s"] for result in results),
            cpu_s=cpu_s if side == "entry" else 0.0,
            resident_bytes=resident_bytes,
        )


def write_text(path: Path, groups: int) -> None:
    """Write a configuration text with groups of one host."""
    text = json.loads("{}")
    text["number"] = 1
    text["services"] = {
        MODEL_SERVICE: {
            "kind": "model",
            "model": "chestnut",
            "version": "1",
            "hosts_per_group": 1,
            "groups": groups,
        }
    }
    text["workspaces"] = {
        name: {"key_sha256": [hash_key(key)]} for name, key in WORKSPACE_KEYS.items()
    }
    path.write_text(json.dumps(text, indent=2))


def hash_key(key: str) -> str:
    """Return the digest by which a text identifies a key."""
    from hashlib import sha256

    return sha256(key.encode()).hexdigest()


def run(
    *,
    rate_per_s: float = 45.0,
    duration_s: float = 20.0,
    tokens: int = 346,
    step_ms: float = 28.0,
    heads: int = 4,
    workers: int = 2,
    rounds: int = 1,
    seed: int = 1,
    format: str = "table",
) -> None:
    """Compare direct calls of engines with calls through one entry.

    Parameters
    ----------
    rate_per_s : float
        Requests sent per second.
    duration_s : float
        Time in seconds for which requests are sent on each side.
    tokens : int
        Number of tokens of each answer.
    step_ms : float
        Time in milliseconds between two tokens of an engine.
    heads : int
        Number of engine processes; each is a group of one host.
    workers : int
        Number of worker processes that generate the load.
    rounds : int
        Number of measurements of each side, in turn.
    seed : int
        Seed of the arrivals.
    format : str
        ``table`` or ``json``.
    """
    FOLDER.parent.mkdir(exist_ok=True)
    text_path = FOLDER.parent / "entry_overhead_text.json"
    write_text(text_path, heads)
    engine = ["--step-ms", str(step_ms), "--step-us-per-request", "0"]
    engine += ["--max-running-requests", "1000", "--kv-capacity-tokens", "1000000"]
    options = DeploymentOptions(
        folder=FOLDER,
        text_path=text_path,
        controls=1,
        entries=1,
        fabric_domains={"fabric-a": heads},
        services=0,
        engine_arguments=engine,
    )
    results: list[dict[str, Any]] = []
    with Deployment(options) as deployment:
        deployment.apply_text(text_path)
        deployment.wait_until_groups_serve(heads)
        for number in range(rounds):
            comparison = Comparison(
                deployment, rate_per_s, duration_s, tokens, workers, seed + number
            )
            for side in SIDES:
                results.append(comparison.run(side).to_dict())
                wait_until(lambda: not deployment.find_busy_head(), 60, "idle engines")
    report(results, format)


def report(results: list[dict[str, Any]], format: str) -> None:
    """Print the metrics of all rounds and the latency that the entry added."""
    for engine, entry in zip(results[::2], results[1::2], strict=True):
        for name in [name for name in engine if name.endswith("_ms")]:
            entry[f"added_{name}"] = entry[name] - engine[name]
    if format == "json":
        print(json.dumps(results, indent=2))
        return
    names = list(dict.fromkeys(name for result in results for name in result))
    rows = [
        [name, *(_format(result.get(name, "")) for result in results)] for name in names
    ]
    print(tabulate(rows, tablefmt="plain"))


def _format(value: Any) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    defopt.run(run)
