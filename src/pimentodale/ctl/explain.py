"""`explain REQUEST`: why a request went where it went, from the spans that entry hosts keep."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated, Final
from urllib.parse import quote

import cappa
import msgspec

from pimentodale.ctl.ask_hosts import ask_hosts, parse_entries
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.tracing.tracer import Span

_HIDDEN: Final = frozenset({"host"})


@cappa.command(name="explain", help="Show why a request was routed, retried or refused.")
@dataclass(slots=True)
class ExplainCommand:
    """Arguments of `explain`."""

    request_id: Annotated[str, cappa.Arg(help="X-Request-Id of the request.")]
    entry: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of an entry host; repeatable.")]


class _TraceReply(msgspec.Struct, frozen=True):
    """The part of `GET /admin/trace` that is read."""

    spans: list[Span]


def run_explain(command: ExplainCommand) -> ExitCode:
    """Ask every host and print what it knows of the request.

    Args:
        command: The arguments.

    Returns:
        OK if some host knows the request.
    """
    return asyncio.run(_explain(command))


async def _explain(command: ExplainCommand) -> ExitCode:
    """Ask all hosts at once and print their spans."""
    addresses = parse_entries(command.entry)
    if addresses.is_error():
        return addresses.error
    path = f"/admin/trace?request_id={quote(command.request_id)}"
    known = unreachable = 0
    answers = await ask_hosts(addresses.ok, path, _TraceReply)
    for address, answer in zip(addresses.ok, answers, strict=True):
        if answer.is_error():
            print(f"{address}: {answer.error}", file=sys.stderr)
            unreachable += 1
            continue
        spans = answer.ok.spans
        known += bool(spans)
        print("\n".join(describe_spans(spans)), end="\n" if spans else "")
    if known:
        return ExitCode.OK
    if unreachable:
        return ExitCode.UNREACHABLE
    print(f"No host knows request '{command.request_id}'; old ones are forgotten.", file=sys.stderr)
    return ExitCode.FAILED


def describe_spans(spans: list[Span]) -> list[str]:
    """Return a line for each span, children indented under their parents.

    Args:
        spans: Spans of one request at one host.
    """
    ids = {span.span_id for span in spans}
    lines: list[str] = []

    def add(span: Span, depth: int) -> None:
        words = [f"{k}={v}" for k, v in span.attributes.items() if v and k not in _HIDDEN]
        where = f" at {span.attributes.get('host', '?')}" if depth == 0 else ""
        time = "open" if span.duration_ms < 0 else f"{span.duration_ms:.1f} ms"
        lines.append(f"{'  ' * depth}{span.name}{where} ({time}) {' '.join(words)}".rstrip())
        for child in spans:
            if child.parent_id == span.span_id:
                add(child, depth + 1)

    for span in spans:
        if span.parent_id not in ids:
            add(span, 0)
    return lines
