"""One open-loop run: every request starts at its time, however the earlier ones fare."""

from __future__ import annotations

import asyncio
import ipaddress
import random
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import Address, BadAddressError, parse_address
from pimentodale.load.arrivals import arrival_times_ms
from pimentodale.load.mixes import RequestShape
from pimentodale.load.plan import LoadWorkspace, RunPlan, shapes_of
from pimentodale.load.records import Record
from pimentodale.load.sender import Sender

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from pimentodale.clock import Clock

PROGRESS_INTERVAL_MS: Final = 2_000.0
"""Time between progress lines."""

RESEND_DELAY_MS: Final = 200.0
"""Mean time after which a submission is sent once more."""


class PlannedRequest(msgspec.Struct, frozen=True):
    """A request that a run will send."""

    record: Record
    """Its record, not filled yet."""

    shape: RequestShape
    """What it asks for."""

    workspace: LoadWorkspace
    """Who sends it."""


def check_plan(plan: RunPlan) -> Result[list[Address], str]:
    """Check what a plan's types can't, and read its addresses.

    Args:
        plan: The run.

    Returns:
        The entry hosts' addresses, or what is wrong and how to mend it.
    """
    if not shapes_of(plan):
        return Error(f"mix: '{plan.mix}' is unknown; give `shapes` or a mix that there is")
    addresses = []
    for text in plan.entries:
        try:
            address = parse_address(text)
        except BadAddressError as error:
            return Error(f"entries: {error}")
        if not plan.beyond_loopback and not ipaddress.ip_address(address.ip).is_loopback:
            return Error(f"entries: {text} is not loopback; set beyond_loopback if you mean it")
        addresses.append(address)
    return Ok(addresses)


async def run_load(
    plan: RunPlan,
    addresses: list[Address],
    clock: Clock,
    report: Callable[[str], None],
    *,
    keep_texts: bool = False,
) -> list[Record]:
    """Send a plan's requests.

    Args:
        plan: The run, checked.
        addresses: Its entry hosts.
        clock: Source of time.
        report: Takes a progress line now and then.
        keep_texts: Whether records keep prompts and answers.

    Returns:
        A record for each request sent.
    """
    rng = random.Random(plan.seed)
    planned = list(plan_requests(plan, rng))
    sender = Sender(
        clock,
        clock.now_ms(),
        addresses,
        plan.model,
        plan.timeout_ms,
        random.Random(plan.seed + 1),
        keep_texts,
    )
    progress = asyncio.ensure_future(_report_progress(planned, sender, report))
    tasks = []
    for request in planned:
        wait_ms = request.record.intended_ms - sender.elapsed_ms()
        if wait_ms > 0:
            await clock.sleep_ms(wait_ms)
        sending = sender.send(request.record, request.shape, request.workspace)
        tasks.append(asyncio.ensure_future(sending))
    await asyncio.gather(*tasks)
    progress.cancel()
    return [request.record for request in planned]


def plan_requests(plan: RunPlan, rng: random.Random) -> Iterator[PlannedRequest]:
    """Yield all requests of a run in the order of their times."""
    shapes = shapes_of(plan)
    weights = [shape.weight for shape in shapes]
    shares = [workspace.weight for workspace in plan.workspaces]
    planned: list[PlannedRequest] = []
    for intended_ms in arrival_times_ms(plan.arrivals, plan.duration_ms, rng):
        if len(planned) >= plan.max_requests:
            break
        shape = rng.choices(shapes, weights)[0]
        workspace = rng.choices(plan.workspaces, shares)[0]
        key = f"{plan.seed}-{rng.getrandbits(64):016x}" if shape.kind == "submission" else ""
        planned.append(_planned(len(planned), shape, workspace, intended_ms, key))
        if key and rng.random() < shape.resend_chance:
            again_ms = intended_ms + rng.expovariate(1 / RESEND_DELAY_MS)
            planned.append(_planned(len(planned), shape, workspace, again_ms, key))
    yield from sorted(planned, key=lambda request: request.record.intended_ms)


def _planned(
    number: int, shape: RequestShape, workspace: LoadWorkspace, intended_ms: float, key: str
) -> PlannedRequest:
    """Build a request that is not sent yet."""
    record = Record(
        number=number,
        shape=shape.name,
        workspace=workspace.name,
        intended_ms=intended_ms,
        key=key,
    )
    return PlannedRequest(record, shape, workspace)


async def _report_progress(
    planned: list[PlannedRequest], sender: Sender, report: Callable[[str], None]
) -> None:
    """Report how far the run is until cancelled."""
    while True:
        await sender.clock.sleep_ms(PROGRESS_INTERVAL_MS)
        now_ms = sender.elapsed_ms()
        due = sum(1 for request in planned if request.record.intended_ms <= now_ms)
        ended = sum(1 for request in planned if request.record.ended_ms >= 0)
        good = sum(1 for request in planned if request.record.result == "ok")
        report(f"{now_ms / 1000:.0f} s: {due} of {len(planned)} sent, {ended} ended, {good} whole")
