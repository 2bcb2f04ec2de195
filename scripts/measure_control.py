"""Measures what control costs an idle entry host at several sizes, and fits slopes.

Usage: PYTHONPATH=. .venv/bin/python scripts/measure_control.py OUTPUT.json [NODES...]

Each size starts so many real entry hosts over three failure domains, half as many engines again, and
the platform's stand-ins. After the start has settled, one configuration change falls into the window.
"""

from __future__ import annotations

import shutil
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean
from typing import TYPE_CHECKING, Any, Final

import msgspec
import psutil
from features.support.layout import (
    ADMIN_PORT,
    FAILURE_DOMAINS,
    PLATFORM_NUMBER,
    EngineLayout,
    Layout,
    default_folder,
)
from features.support.site import Site, http, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZES: Final = (4, 8, 16, 32)
SETTLE_S: Final = 15.0
WINDOW_S: Final = 25.0
CALL_KINDS: Final = ("range", "txn", "lease_grant", "lease_keepalive", "lease_revoke", "watch")
TARGET_NODES: Final = 410
ENGINES_PER_NODE: Final = 1.5
MIB: Final = 1024 * 1024


@dataclass(slots=True)
class ControlSample:
    """Means over the entry hosts of one size."""

    nodes: int
    engines: int
    cpu_share: float
    resident_mib: float
    private_mib: float
    peer_sent_bytes_per_s: float
    peer_received_bytes_per_s: float
    key_value_calls_per_s: float
    open_watches: int
    in_force_ms: float


@dataclass(slots=True)
class Slope:
    """A straight line through the samples of one figure."""

    figure: str
    at_zero: float
    per_node: float
    largest_residual: float
    at_target: float


def main(output: Path, sizes: Sequence[int]) -> None:
    """Measure all sizes and write samples and slopes.

    Args:
        output: JSON file to write.
        sizes: Numbers of entry hosts.
    """
    samples = []
    for nodes in sizes:
        sample = measure(nodes)
        print(sample, flush=True)
        samples.append(sample)
    slopes = [fit(samples, figure) for figure in ("cpu_share", "resident_mib", "private_mib")]
    for figure in ("peer_sent_bytes_per_s", "peer_received_bytes_per_s", "key_value_calls_per_s"):
        slopes.append(fit(samples, figure))
    for slope in slopes:
        print(slope)
    result = {"samples": [asdict(s) for s in samples], "slopes": [asdict(s) for s in slopes]}
    output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def measure(nodes: int) -> ControlSample:
    """Run one size and return its means."""
    engines = [
        EngineLayout(f"eng-{n}", FAILURE_DOMAINS[n % 3], 12 * (n % 2), 12 * (n % 2) + 12)
        for n in range(max(6, round(nodes * ENGINES_PER_NODE)))
    ]
    layout = Layout(Site(seed=nodes), engines=engines, entries=nodes, engines_share_process=True)
    try:
        layout.start()
        time.sleep(SETTLE_S)
        return _measure_window(layout)
    finally:
        layout.site.stop()
        shutil.rmtree(layout.site.folder, ignore_errors=True)


def fit(samples: Sequence[ControlSample], figure: str) -> Slope:
    """Fit a line by least squares over the number of nodes."""
    points = [(sample.nodes, float(getattr(sample, figure))) for sample in samples]
    mean_x, mean_y = mean(x for x, _ in points), mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    at_zero = mean_y - slope * mean_x
    residual = max(abs(y - at_zero - slope * x) for x, y in points)
    return Slope(figure, at_zero, slope, residual, at_zero + slope * TARGET_NODES)


def _measure_window(layout: Layout) -> ControlSample:
    """Read all counters at both ends of the window."""
    processes = [
        psutil.Process(layout.site.programs[f"entry-{n}"].process.pid)
        for n in range(layout.entries)
    ]
    before = [_cpu_s(process) for process in processes]
    peers_before = _peer_bytes(layout)
    calls_before = _calls(layout)
    start = time.monotonic()
    in_force_ms = _change_configuration(layout)
    time.sleep(max(0.0, WINDOW_S - (time.monotonic() - start)))
    passed_s = time.monotonic() - start
    peers_after = _peer_bytes(layout)
    calls_after = _calls(layout)
    cpu_s = [_cpu_s(p) - b for p, b in zip(processes, before, strict=True)]
    count = layout.entries
    return ControlSample(
        nodes=count,
        engines=len(layout.engines),
        cpu_share=mean(cpu_s) / passed_s,
        resident_mib=mean(p.memory_info().rss for p in processes) / MIB,
        private_mib=mean(p.memory_full_info().uss for p in processes) / MIB,
        peer_sent_bytes_per_s=(peers_after[0] - peers_before[0]) / count / passed_s,
        peer_received_bytes_per_s=(peers_after[1] - peers_before[1]) / count / passed_s,
        key_value_calls_per_s=(calls_after - calls_before) / passed_s,
        open_watches=int(_call_counts(layout).get("watches_open", 0)),
        in_force_ms=in_force_ms,
    )


def _change_configuration(layout: Layout) -> float:
    """Change one file and return the time until it is in force on all hosts."""
    folder = default_folder()
    folder["10-models.yaml"]["models"][0]["max_output_tokens"] = 512
    before = _revisions(layout)
    start = time.monotonic()
    layout.put_folder({"10-models.yaml": folder["10-models.yaml"]})
    wait_until(
        lambda: min(_revisions(layout)) > max(before), "the change is in force everywhere", 60.0
    )
    return (time.monotonic() - start) * 1000


def _revisions(layout: Layout) -> list[int]:
    """Return the revision in force at each host."""
    urls = [layout.entry_url(n, "/admin/configuration") for n in range(layout.entries)]
    return [http(url).json()["revision"] for url in urls]


def _cpu_s(process: psutil.Process) -> float:
    """Return a process's time on the processor."""
    times = process.cpu_times()
    return float(times.user + times.system)


def _peer_bytes(layout: Layout) -> tuple[float, float]:
    """Return the bytes sent to and received from peers by all hosts."""
    sent = received = 0.0
    for number in range(layout.entries):
        text = http(layout.entry_url(number, "/metrics")).body.decode()
        values = dict(
            line.rsplit(" ", 1) for line in text.splitlines() if line[:1] not in ("#", "")
        )
        sent += float(values["pimentodale_peer_sent_bytes"])
        received += float(values["pimentodale_peer_received_bytes"])
    return sent, received


def _call_counts(layout: Layout) -> dict[str, Any]:
    """Return the key-value stand-in's own counts."""
    ip = layout.site.ip(PLATFORM_NUMBER)
    counts: dict[str, Any] = http(f"http://{ip}:{ADMIN_PORT}/admin/calls").json()
    return counts


def _calls(layout: Layout) -> int:
    """Return all calls made so far."""
    counts = _call_counts(layout)
    return sum(int(counts[kind]) for kind in CALL_KINDS)


if __name__ == "__main__":
    main(Path(sys.argv[1]), [int(text) for text in sys.argv[2:]] or SIZES)
