"""Connects generations with quarantine: strikes, trials and convictions of requests.

A strike is recorded against a request that was running on a replica when it crashed. A request with
strikes runs on trial, without other such requests on its replicas, until it is cleared or convicted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.pipelines.loss_diagnosis import crashed_replicas
from pimentodale.pipelines.messages import Finished
from pimentodale.quarantine.register import (
    LESS_LIKELY_SUSPECTS_WAIT_MS,
    STRIKE_PROPAGATION_MS,
    refuse_quarantined,
)
from pimentodale.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.pipelines.attempt import GenerationEvent
    from pimentodale.pipelines.context import PipelineContext, Progress
    from pimentodale.quarantine.quarantine import RunningAttempt
    from pimentodale.routing.routes import Route

NO_ROUTE_RETRY_AFTER_MS: Final = 1_000.0
"""Retry-After time of a refusal because there is no route."""

_SECOND_PROBE_DELAY_MS: Final = 300.0
"""Delay before a route is probed a second time after its caller disconnected."""

_MAX_HOLD_MS: Final = 2 * STRIKE_PROPAGATION_MS
"""Maximum delay of a new request after crashes: for one crash, and one more during the wait."""


async def check_for_trial(progress: Progress) -> None:
    """Wait until recent crashes are settled; put the request on trial if it has strikes."""
    quarantine = progress.ctx.quarantine
    if quarantine is None:
        return
    clock, model = progress.ctx.clock, progress.generation.model.name
    until_ms = clock.now_ms() + min(_MAX_HOLD_MS, progress.remaining_ms)
    while (
        new_request_delay_ms := min(
            quarantine.new_request_delay_ms(model), until_ms - clock.now_ms()
        )
    ) > 0:
        await clock.sleep_ms(new_request_delay_ms)
    progress.on_trial = quarantine.needs_trial(progress.generation.fingerprint)


def note_interrupted_stream(progress: Progress, fault: EngineFault) -> None:
    """Record an interrupted stream, as a crash may be the cause."""
    quarantine = progress.ctx.quarantine
    if quarantine is not None and fault.sent and fault.refused is None and not fault.malformed:
        quarantine.note_lost_stream(progress.generation.model.name)


def refuse_if_convicted(progress: Progress) -> Refusal | None:
    """Return a refusal if the request is convicted."""
    quarantine = progress.ctx.quarantine
    if quarantine is None or not quarantine.register.is_convicted(progress.generation.fingerprint):
        return None
    return refuse_quarantined(Ran.MAY_HAVE_RUN if progress.handed_over else Ran.NOT_RUN)


async def choose_trial_route(
    progress: Progress,
    pick: Callable[[Collection[str]], Route | None],
    count_disjoint_routes: Callable[[], int],
) -> Result[Route, Refusal]:
    """Wait for a route without other requests on trial, and reserve it.

    Streams that a crash interrupted are resumed without isolation if there are more of them than can
    be isolated from each other.

    Args:
        progress: The generation.
        pick: Chooses a route that avoids the given replicas.
        count_disjoint_routes: Returns how many disjoint routes are left.

    Returns:
        The route, or the refusal if there is none.
    """
    quarantine = progress.ctx.quarantine
    assert quarantine is not None
    trials = quarantine.trials
    fingerprint = progress.generation.fingerprint
    in_trial_elsewhere: set[str] = set()
    defer_until_ms = progress.ctx.clock.now_ms() + LESS_LIKELY_SUSPECTS_WAIT_MS
    tries = 0
    while progress.remaining_ms > 0:
        await progress.ctx.clock.sleep_ms(quarantine.register.strike_wait_ms(fingerprint))
        quarantine.register.convict_if_unexplained(fingerprint)
        conviction = refuse_if_convicted(progress)
        if conviction is not None:
            return Error(conviction)
        if progress.interrupted_by_crash and not quarantine.must_isolate(
            fingerprint, count_disjoint_routes()
        ):
            progress.on_trial = False
            route = pick(trials.trial_replicas) or pick(set())
            return Error(refuse_no_route(progress)) if route is None else Ok(route)
        may_defer = progress.ctx.clock.now_ms() < defer_until_ms
        if may_defer and quarantine.register.has_less_likely_suspects(fingerprint):
            await trials.wait_for_change(tries)
            tries += 1
            continue
        route = pick(trials.trial_replicas | in_trial_elsewhere)
        if route is not None:
            occupied = await trials.acquire(fingerprint, route.replicas)
            if occupied is None:
                return Ok(route)
            if occupied.convicted is not None:
                quarantine.register.receive(occupied.convicted)
            in_trial_elsewhere.update(occupied.replicas)
            if occupied.replicas:
                continue
        elif pick(set()) is None:
            return Error(refuse_no_route(progress))
        in_trial_elsewhere.clear()
        await trials.wait_for_change(tries)
        tries += 1
    return Error(progress.refuse_deadline_exceeded())


def note_attempt_start(progress: Progress, route: Route) -> None:
    """Record the start of an attempt."""
    quarantine = progress.ctx.quarantine
    if quarantine is not None:
        fingerprint = progress.generation.fingerprint
        progress.running = quarantine.start(fingerprint, route.replicas, progress.on_trial)


def note_event(progress: Progress, event: GenerationEvent) -> None:
    """Record a token or the final event; clear the strikes of a request that proves harmless."""
    quarantine, running = progress.ctx.quarantine, progress.running
    if quarantine is None or running is None:
        return
    running.tokens += 1
    if not quarantine.needs_trial(running.fingerprint):
        return
    if isinstance(event, Finished) or quarantine.is_considered_harmless(running):
        quarantine.register.close_strikes(running.fingerprint)
        _end_trial(progress)


def note_crash(progress: Progress, replica: str) -> None:
    """Record a crash that ended the request's attempt."""
    quarantine, running = progress.ctx.quarantine, progress.running
    if quarantine is None or running is None:
        return
    boot_id = progress.ctx.boot_id_of(replica)
    suspected = quarantine.note_crash(running, replica, boot_id)
    _end_trial(progress)
    progress.on_trial = progress.interrupted_by_crash = suspected


def note_attempt_end(progress: Progress) -> None:
    """Record that an attempt is over and its fault handled; further calls have no effect."""
    quarantine, running = progress.ctx.quarantine, progress.running
    if quarantine is None or running is None:
        return
    progress.running = None
    quarantine.end(running)
    if progress.on_trial:
        quarantine.trials.release(running.fingerprint)


def note_disconnect(progress: Progress, route: Route) -> None:
    """Check in the background whether an attempt crashed its route after its caller disconnected.

    Otherwise a caller that disconnects quickly could send a poison request again and again. A trial
    keeps its replicas until the result is known.
    """
    quarantine, running = progress.ctx.quarantine, progress.running
    if quarantine is None or running is None or not running.is_fresh:
        return
    progress.running = None
    quarantine.check_abandoned_attempt(_find_crash_after_disconnect(progress.ctx, running, route))


async def _find_crash_after_disconnect(
    ctx: PipelineContext, running: RunningAttempt, route: Route
) -> None:
    """Probe a route twice, as the crash may follow after the first probe."""
    quarantine = ctx.quarantine
    assert quarantine is not None
    try:
        for pause_ms in (0.0, _SECOND_PROBE_DELAY_MS):
            await ctx.clock.sleep_ms(pause_ms)
            for replica in await crashed_replicas(ctx, route):
                quarantine.note_crash(running, replica, ctx.boot_id_of(replica))
                return
    finally:
        quarantine.end(running)
        if running.on_trial:
            quarantine.release_trial(running.fingerprint)


def refuse_no_route(progress: Progress) -> Refusal:
    """Create the refusal for a model without a route."""
    model = progress.generation.model.name
    message = f"No live backend servers hold every layer of {model} now; come back later."
    held_off_ms = progress.ctx.fleet.held_off_ms(model)
    return progress.refuse(ResultCode.NO_ROUTE, message, held_off_ms or NO_ROUTE_RETRY_AFTER_MS)


def _end_trial(progress: Progress) -> None:
    """Release the replicas of a trial, in the same step in which a conviction is recorded."""
    quarantine, running = progress.ctx.quarantine, progress.running
    if quarantine is not None and running is not None:
        if progress.on_trial:
            quarantine.release_trial(running.fingerprint)
        running.on_trial = False
    progress.on_trial = False
