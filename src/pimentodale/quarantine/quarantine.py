"""Quarantine as used by generations: tracks attempts, records crashes and decides on isolation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.quarantine.entries import Strike
from pimentodale.quarantine.register import STRIKE_PROPAGATION_MS, create_register
from pimentodale.quarantine.trials import create_trials

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.register import QuarantineRegister
    from pimentodale.quarantine.trials import Trials

MIN_TOKENS_FOR_SUCCESS: Final = 2
"""Tokens on one route after which an attempt counts as successful there: one from prefill and one
from decode."""

MAX_ISOLATED_SUSPECTS: Final = 4
"""Maximum number of suspects of one crash, per remaining route, for which each suspect is tried in
isolation. Each route runs its trials one after the other, and no stream may wait longer than 1 s.
"""

FULL_TRIAL_STRIKES: Final = 2
"""Number of strikes from which a trial lasts until the request completes."""

CRASH_GROUPING_MS: Final = 2_000.0
"""Failures of attempts on one replica within this time are attributed to one crash."""


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt in progress."""

    fingerprint: str
    """Fingerprint of the request."""

    replicas: list[str]
    """Replicas of its route."""

    on_trial: bool = False
    """Whether it runs in a trial, isolated from other requests with strikes."""

    tokens: int = 0
    """Tokens generated on this route."""

    @property
    def is_fresh(self) -> bool:
        """Whether it has just started."""
        return self.tokens < MIN_TOKENS_FOR_SUCCESS


@dataclass(slots=True)
class _Crash:
    """One crash of a replica."""

    at_ms: float
    fresh: set[str]
    """Fingerprints of the requests that had just started there."""


class Quarantine:
    """The attempts in progress on this host and the quarantine state of their requests."""

    __slots__ = (
        "_background",
        "_clock",
        "_crashes",
        "_lost_streams",
        "_running",
        "register",
        "trials",
    )

    def __init__(
        self,
        register: QuarantineRegister,
        trials: Trials,
        clock: Clock,
        background: BackgroundTasks,
    ) -> None:
        self.register = register
        """Strikes and convictions by request."""
        self.trials = trials
        """Trials of requests with strikes."""
        self._clock = clock
        self._background = background
        self._running: set[RunningAttempt] = set()
        self._crashes: dict[str, _Crash] = {}
        self._lost_streams: dict[str, float] = {}

    def start(self, fingerprint: str, replicas: list[str], on_trial: bool) -> RunningAttempt:
        """Register an attempt; the caller must always call `end` for it."""
        running = RunningAttempt(fingerprint, replicas, on_trial)
        self._running.add(running)
        return running

    def end(self, running: RunningAttempt) -> None:
        """Unregister an attempt after it and the handling of its fault have ended."""
        self._running.discard(running)

    def note_lost_stream(self, model: str) -> None:
        """Record that a stream of a model was cut off, before the cause is known."""
        self._lost_streams[model] = self._clock.now_ms()

    def new_request_delay_ms(self, model: str) -> float:
        """Return how long a new request of a model has to wait for the strikes of a likely crash.

        A host whose streams were cut off knows of the crash but not of the request that caused it.
        That request may be sent again through this host before its strike has arrived.
        """
        lost_at_ms = self._lost_streams.get(model)
        if lost_at_ms is None:
            return 0.0
        return max(0.0, lost_at_ms + STRIKE_PROPAGATION_MS - self._clock.now_ms())

    def note_crash(self, running: RunningAttempt, replica: str, boot_id: str) -> bool:
        """Add a strike for a crash to the request of an attempt.

        Args:
            running: The attempt.
            replica: The backend server that crashed.
            boot_id: Boot id of the crashed server process; empty when unknown.

        Returns:
            Whether the request is a suspect: it had just started on the replica, or has at least
            `FULL_TRIAL_STRIKES` open strikes. If so, call `must_isolate` once the strikes of other
            hosts have arrived.
        """
        fresh = self._fresh_at_crash(replica)
        now_ms = self._clock.wall_ms()
        strike = Strike(replica, boot_id, now_ms, running.is_fresh, running.on_trial)
        self.register.strike(running.fingerprint, strike)
        if self.register.open_strikes(running.fingerprint) >= FULL_TRIAL_STRIKES:
            return True
        return running.fingerprint in fresh

    def must_isolate(self, fingerprint: str, route_count: int) -> bool:
        """Whether a suspect whose stream was cut off has to run in isolation before it continues.

        Args:
            fingerprint: The request; the strikes of its crash have arrived from other hosts.
            route_count: Number of disjoint routes that remain.
        """
        if self.register.open_strikes(fingerprint) >= FULL_TRIAL_STRIKES:
            return True
        return self.register.count_suspects(fingerprint) <= MAX_ISOLATED_SUSPECTS * route_count

    def release_trial(self, fingerprint: str) -> None:
        """End the trial of a request; a conviction is stored in the same transaction."""
        entry = self.register.find(fingerprint)
        convicted = entry if entry is not None and entry.convicted else None
        self.trials.release(fingerprint, convicted)

    def check_abandoned_attempt(self, check: Coroutine[None, None, None]) -> None:
        """Run a check of the route of an abandoned attempt in the background."""
        self._background.start(check, "quarantine: abandoned attempt")

    def needs_trial(self, fingerprint: str) -> bool:
        """Whether a new request has strikes since it last ran without a crash."""
        return self.register.open_strikes(fingerprint) > 0

    def is_considered_harmless(self, running: RunningAttempt) -> bool:
        """Whether an attempt has run long enough for its request to be considered harmless."""
        if running.is_fresh:
            return False
        return self.register.total_strikes(running.fingerprint) < FULL_TRIAL_STRIKES

    def _fresh_at_crash(self, replica: str) -> set[str]:
        """Return the requests that had just started on a replica when it crashed."""
        now_ms = self._clock.now_ms()
        crash = self._crashes.get(replica)
        if crash is not None and now_ms - crash.at_ms < CRASH_GROUPING_MS:
            return crash.fresh
        # When the first attempt reports a crash, all others on the replica are still registered.
        fresh = {
            running.fingerprint
            for running in self._running
            if replica in running.replicas and running.is_fresh
        }
        self._crashes = {
            name: old
            for name, old in self._crashes.items()
            if now_ms - old.at_ms < CRASH_GROUPING_MS
        }
        self._crashes[replica] = _Crash(now_ms, fresh)
        return fresh


def create_quarantine(
    host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
) -> Quarantine:
    """Create the quarantine of a host.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        background: Runs the store calls that end a trial.
        store: The key-value service, or `None` to run without one.

    Returns:
        The quarantine; the entries of its register have to be shared with other hosts.
    """
    trials = create_trials(host, clock, background, store)
    return Quarantine(create_register(clock), trials, clock, background)
