"""What a generation has to do with quarantine: strikes, trials and convictions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.pipelines.loss import crashed_replicas
from pimentodale.pipelines.messages import Finished
from pimentodale.quarantine.register import (
    LESSER_SUSPECTS_WAIT_MS,
    SETTLING_MS,
    refuse_convicted,
)
from pimentodale.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.pipelines.attempt import GenerationEvent
    from pimentodale.pipelines.means import PipelineMeans, Progress
    from pimentodale.quarantine.quarantine import Running
    from pimentodale.routing.routes import Route

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after there was no route."""

_SECOND_LOOK_MS: Final = 300.0
"""When a route is looked at again after its caller left."""

_LONGEST_HOLD_MS: Final = 2 * SETTLING_MS
"""Longest time that crashes hold up a new request: a crash and one more during the wait."""


async def begin(progress: Progress) -> None:
    """Put a request on trial that was running at a crash before, once crashes are settled."""
    quarantine = progress.means.quarantine
    if quarantine is None:
        return
    clock, model = progress.means.clock, progress.generation.model.name
    until_ms = clock.now_ms() + min(_LONGEST_HOLD_MS, progress.remaining_ms)
    while (hold_ms := min(quarantine.hold_ms(model), until_ms - clock.now_ms())) > 0:
        await clock.sleep_ms(hold_ms)
    progress.on_trial = quarantine.needs_trial(progress.generation.fingerprint)


def note_cut_off(progress: Progress, fault: EngineFault) -> None:
    """Note a stream that was cut off, which a crash may be behind."""
    quarantine = progress.means.quarantine
    if quarantine is not None and fault.sent and fault.refused is None and not fault.malformed:
        quarantine.note_lost_stream(progress.generation.model.name)


def conviction_of(progress: Progress) -> Refusal | None:
    """Refuse a convicted request."""
    quarantine = progress.means.quarantine
    if quarantine is None or not quarantine.register.is_convicted(progress.generation.fingerprint):
        return None
    return refuse_convicted(Ran.MAY_HAVE_RUN if progress.handed_over else Ran.NOT_RUN)


async def choose_trial_route(
    progress: Progress,
    pick: Callable[[Collection[str]], Route | None],
    count_ways: Callable[[], int],
) -> Result[Route, Refusal]:
    """Wait for a route on which no other struck request runs, and hold it.

    A stream that was cut off together with too many others to try them all alone goes on among them.

    Args:
        progress: The generation.
        pick: Chooses a route that avoids the given replicas.
        count_ways: Returns how many disjoint routes are left.

    Returns:
        The route, or why there is none.
    """
    quarantine = progress.means.quarantine
    assert quarantine is not None
    trials = quarantine.trials
    fingerprint = progress.generation.fingerprint
    taken_elsewhere: set[str] = set()
    yields_until_ms = progress.means.clock.now_ms() + LESSER_SUSPECTS_WAIT_MS
    tries = 0
    while progress.remaining_ms > 0:
        await progress.means.clock.sleep_ms(quarantine.register.settling_ms(fingerprint))
        quarantine.register.judge_settled(fingerprint)
        conviction = conviction_of(progress)
        if conviction is not None:
            return Error(conviction)
        if progress.cut_off and not quarantine.must_isolate(fingerprint, count_ways()):
            progress.on_trial = False
            route = pick(trials.taken_replicas) or pick(set())
            return Error(no_route(progress)) if route is None else Ok(route)
        may_yield = progress.means.clock.now_ms() < yields_until_ms
        if may_yield and quarantine.register.has_lesser_suspects(fingerprint):
            await trials.wait_for_change(tries)
            tries += 1
            continue
        route = pick(trials.taken_replicas | taken_elsewhere)
        if route is not None:
            occupied = await trials.acquire(fingerprint, route.replicas)
            if occupied is None:
                return Ok(route)
            if occupied.convicted is not None:
                quarantine.register.offer(occupied.convicted)
            taken_elsewhere.update(occupied.replicas)
            if occupied.replicas:
                continue
        elif pick(set()) is None:
            return Error(no_route(progress))
        taken_elsewhere.clear()
        await trials.wait_for_change(tries)
        tries += 1
    return Error(progress.refuse_late())


def note_start(progress: Progress, route: Route) -> None:
    """Note an attempt that begins."""
    quarantine = progress.means.quarantine
    if quarantine is not None:
        fingerprint = progress.generation.fingerprint
        progress.running = quarantine.start(fingerprint, route.replicas, progress.on_trial)


def note_event(progress: Progress, event: GenerationEvent) -> None:
    """Note a token or the finish; a struck request that runs well is let go."""
    quarantine, running = progress.means.quarantine, progress.running
    if quarantine is None or running is None:
        return
    running.tokens += 1
    if not quarantine.needs_trial(running.fingerprint):
        return
    if isinstance(event, Finished) or quarantine.has_proved(running):
        quarantine.register.close_strikes(running.fingerprint)
        _end_trial(progress)


def note_crash(progress: Progress, replica: str) -> None:
    """Give the request its strike for a crash that ended its attempt."""
    quarantine, running = progress.means.quarantine, progress.running
    if quarantine is None or running is None:
        return
    boot_id = progress.means.boot_id_of(replica)
    suspected = quarantine.note_crash(running, replica, boot_id)
    _end_trial(progress)
    progress.on_trial = progress.cut_off = suspected


def note_end(progress: Progress) -> None:
    """Note that an attempt is over, its fault handled; may be repeated."""
    quarantine, running = progress.means.quarantine, progress.running
    if quarantine is None or running is None:
        return
    progress.running = None
    quarantine.end(running)
    if progress.on_trial:
        quarantine.trials.release(running.fingerprint)


def note_caller_gone(progress: Progress, route: Route) -> None:
    """Find out in the background whether an attempt whose caller left had crashed its route.

    Else a caller that gives up quickly could send a poison request again and again. A trial keeps
    its place until that is known.
    """
    quarantine, running = progress.means.quarantine, progress.running
    if quarantine is None or running is None or not running.is_fresh:
        return
    progress.running = None
    quarantine.watch_abandoned(_find_crash_after_leaving(progress.means, running, route))


async def _find_crash_after_leaving(means: PipelineMeans, running: Running, route: Route) -> None:
    """Look at a route twice, as the crash may be only about to come."""
    quarantine = means.quarantine
    assert quarantine is not None
    try:
        for pause_ms in (0.0, _SECOND_LOOK_MS):
            await means.clock.sleep_ms(pause_ms)
            for replica in await crashed_replicas(means, route):
                quarantine.note_crash(running, replica, means.boot_id_of(replica))
                return
    finally:
        quarantine.end(running)
        if running.on_trial:
            quarantine.release_trial(running.fingerprint)


def no_route(progress: Progress) -> Refusal:
    """Refuse for want of a route."""
    model = progress.generation.model.name
    message = f"No live backend servers hold every layer of {model} now; come back later."
    held_off_ms = progress.means.fleet.held_off_ms(model)
    return progress.refuse(ResultCode.NO_ROUTE, message, held_off_ms or NO_ROUTE_RETRY_MS)


def _end_trial(progress: Progress) -> None:
    """Give up the place of a trial; a conviction is kept in the same step."""
    quarantine, running = progress.means.quarantine, progress.running
    if quarantine is not None and running is not None:
        if progress.on_trial:
            quarantine.release_trial(running.fingerprint)
        running.on_trial = False
    progress.on_trial = False
