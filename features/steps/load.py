"""Steps for the load tool."""

from __future__ import annotations

import json
from typing import Any

from behave import then, when
from features.support.layout import ADMIN_PORT, MODEL, PLATFORM_NUMBER, TOKENS

RUN_TIMEOUT_S = 60


def run_tool(context: Any, name: str, *words: str) -> tuple[int, str]:
    """Run pimentodale-load; return its exit code and output."""
    program = context.site.start(name, "pimentodale-load", *words)
    return program.process.wait(RUN_TIMEOUT_S), program.log.read_text()


def load_plan(context: Any, rate: float, duration_ms: float) -> dict[str, Any]:
    """Return a plan over the site's entry hosts."""
    layout = getattr(context, "layout", None)
    entries = [layout.entry_address(n) for n in range(3)] if layout else ["127.0.0.1:8080"]
    return {
        "entries": entries,
        "workspaces": [
            {"name": name, "token": token, "weight": weight}
            for (name, token), weight in zip(TOKENS.items(), (1, 1, 4), strict=True)
        ],
        "model": MODEL,
        "arrivals": {"rate_requests_per_s": rate},
        "duration_ms": duration_ms,
        "seed": context.site.seed,
    }


@when('pimentodale-load runs the mix "{mix}" at {rate:d} requests a second for {duration:d} ms')
def run_mix(context: Any, mix: str, rate: int, duration: int) -> None:
    plan = {**load_plan(context, rate, duration), "mix": mix}
    path = context.site.write("load.yaml", plan)
    context.records = context.site.folder / "records.jsonl"
    code, output = run_tool(context, "load", "run", str(path), "--records", str(context.records))
    assert code == 0, output
    context.figures = json.loads(output[output.index("{") :])


@then("its figures count each request once, most of them whole")
def check_figures(context: Any) -> None:
    lines = context.records.read_text().splitlines()
    figures = context.figures
    assert figures["requests"] == len(lines) > 50, figures
    assert sum(figures["results"].values()) == figures["requests"], figures
    assert figures["results"]["ok"] >= 0.9 * figures["requests"], figures
    assert figures["first_token"]["p50_ms"] > 0, figures


@then("pimentodale-load finds nothing wrong in the services' journals")
def check_clean(context: Any) -> None:
    journal = str(context.layout.journal("rigs-0"))
    code, output = run_tool(context, "journal", "journal", str(context.records), journal)
    assert code == 0, output
    assert json.loads(output)["keys_run"] > 0, output


@when("a line of a service's journal is written twice")
def double_line(context: Any) -> None:
    path = context.layout.journal("rigs-0")
    lines = path.read_text().splitlines()
    keyed = next(line for line in lines if json.loads(line).get("idempotency_key"))
    with path.open("a") as journal:
        journal.write(keyed + "\n")


@then("pimentodale-load finds a doubled key and exits with {expected:d}")
def check_doubled(context: Any, expected: int) -> None:
    journal = str(context.layout.journal("rigs-0"))
    code, output = run_tool(context, "journal", "journal", str(context.records), journal)
    assert code == expected, output
    assert len(json.loads(output)["doubled_keys"]) == 1, output


@when("pimentodale-load runs an experiment of 2 variants in 2 rounds with a fault")
def run_two_variants(context: Any) -> None:
    ip = context.site.ip(PLATFORM_NUMBER)
    fault = {"at_ms": 300, "address": f"{ip}:{ADMIN_PORT}", "body": {"delay_ms": 5}}
    experiment = {
        "name": "Slow platform",
        "load": load_plan(context, 20, 1000),
        "variants": [{"name": "plain"}, {"name": "slow", "faults": [fault]}],
        "rounds": 2,
        "settle_ms": 100,
        "bound_tokens_per_s": 7000,
    }
    path = context.site.write("experiment.yaml", experiment)
    context.result = context.site.folder / "result.json"
    words = ("experiment", str(path), "--output", str(context.result))
    code, output = run_tool(context, "experiment", *words)
    assert code == 0, output


@then("its result has {count:d} runs in turns, each round with its own seed")
def check_turns(context: Any, count: int) -> None:
    runs = json.loads(context.result.read_text())["runs"]
    assert [run["variant"] for run in runs] == ["plain", "slow"] * (count // 2), runs
    assert len({run["seed"] for run in runs}) == 2, runs
    assert all(run["figures"]["requests"] for run in runs), runs


@then("its report has a table and plots")
def check_report(context: Any) -> None:
    folder = context.site.folder / "report"
    code, output = run_tool(
        context, "report", "report", str(context.result), "--folder", str(folder)
    )
    assert code == 0, output
    text = (folder / "report.md").read_text()
    assert "| plain | 2 |" in text, text
    for plot in ("timeline.svg", "latencies.svg"):
        assert plot in text
        assert "<svg" in (folder / plot).read_text()


@when("pimentodale-load is given a plan with {field} set to {value}")
def give_bad_plan(context: Any, field: str, value: str) -> None:
    plan = {**load_plan(context, 5, 1000), field: json.loads(value)}
    path = context.site.write("bad.yaml", plan)
    context.code, context.output = run_tool(context, "bad", "run", str(path))


@then('it is refused with code {expected:d}, naming "{place}"')
def check_refused_plan(context: Any, expected: int, place: str) -> None:
    assert context.code == expected, (context.code, context.output)
    assert place in context.output, context.output
