"""An experiment's result as Markdown and SVG plots."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

    from pimentodale.load.experiment import ExperimentResult, VariantRun

BIN_MS: Final = 100
"""Width of a bin of the token timeline."""

_HEADER: Final = (
    "| variant | runs | requests | whole | goodput tokens/s | of the bound | first token p50 / p95 ms"
    " | between tokens p50 / p95 ms | refusals p99 ms |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
)


def write_report(result: ExperimentResult, folder: Path) -> Path:
    """Write `report.md` and its plots.

    Args:
        result: The runs.
        folder: Where to write; made if it is missing.

    Returns:
        The path of the Markdown file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    by_variant: defaultdict[str, list[VariantRun]] = defaultdict(list)
    for run in result.runs:
        by_variant[run.variant].append(run)
    rows = "".join(_row(name, runs, result) for name, runs in by_variant.items())
    plots = _write_plots(result, by_variant, folder)
    links = "".join(f"\n![{path.stem}]({path.name})\n" for path in plots)
    path = folder / "report.md"
    path.write_text(
        f"# {result.name}\n\nMedians over each variant's runs.\n\n{_HEADER}{rows}{links}"
    )
    return path


def _row(name: str, runs: list[VariantRun], result: ExperimentResult) -> str:
    """Return a variant's line of the table."""
    figures = [run.figures for run in runs]
    goodput = median(one.goodput_tokens_per_s for one in figures)
    bound = result.bound_tokens_per_s
    share = "" if bound is None else f"{goodput / bound:.1%}"
    cells = [
        name,
        str(len(runs)),
        str(sum(one.requests for one in figures)),
        str(sum(one.results.get("ok", 0) for one in figures)),
        f"{goodput:.0f}",
        share,
        _pair([(one.first_token.p50_ms, one.first_token.p95_ms) for one in figures]),
        _pair([(one.between_tokens.p50_ms, one.between_tokens.p95_ms) for one in figures]),
        f"{median(one.refused.p99_ms for one in figures):.1f}",
    ]
    return f"| {' | '.join(cells)} |\n"


def _pair(pairs: list[tuple[float, float]]) -> str:
    """Return the medians of both parts of the pairs."""
    return f"{median(p for p, _ in pairs):.1f} / {median(q for _, q in pairs):.1f}"


def _write_plots(
    result: ExperimentResult, by_variant: dict[str, list[VariantRun]], folder: Path
) -> list[Path]:
    """Write the plots and return their paths."""
    # Imported here: only reports need it, and it is an optional dependency.
    import matplotlib as mpl

    mpl.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, runs in by_variant.items():
        timeline = runs[0].figures.tokens_timeline
        times = [place * BIN_MS / 1000 for place in range(len(timeline))]
        axes.plot(times, [count * 1000 / BIN_MS for count in timeline], label=name, linewidth=1)
        for fault in runs[0].faults:
            axes.axvline(fault.at_ms / 1000, color="grey", linestyle=":")
    if result.bound_tokens_per_s is not None:
        axes.axhline(result.bound_tokens_per_s, color="black", linestyle="--", label="bound")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("tokens/s")
    axes.legend()
    timeline_path = folder / "timeline.svg"
    figure.savefig(timeline_path)
    pyplot.close(figure)
    return [timeline_path, _write_bars(by_variant, folder)]


def _write_bars(by_variant: dict[str, list[VariantRun]], folder: Path) -> Path:
    """Write the plot of latencies."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 4))
    names = list(by_variant)
    first = [median(r.figures.first_token.p95_ms for r in by_variant[name]) for name in names]
    between = [median(r.figures.between_tokens.p95_ms for r in by_variant[name]) for name in names]
    axes[0].bar(names, first)
    axes[0].set_ylabel("first token p95 (ms)")
    axes[1].bar(names, between)
    axes[1].set_ylabel("between tokens p95 (ms)")
    path = folder / "latencies.svg"
    figure.savefig(path)
    pyplot.close(figure)
    return path
