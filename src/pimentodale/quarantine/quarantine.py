"""What generations ask of quarantine: may this run, where, and what a crash means for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.quarantine.entries import Strike
from pimentodale.quarantine.register import SETTLING_MS, create_register
from pimentodale.quarantine.trials import create_trials

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.register import QuarantineRegister
    from pimentodale.quarantine.trials import Trials

PROVING_TOKENS: Final = 2
"""Tokens on one route after which an attempt is thought to run well there: one of each kind of step,
prefill and decode."""

MAX_ISOLATED: Final = 4
"""Fresh requests at one crash, for each way left, up to which each of them is tried alone. They
are tried one after the other on each way, and no stream may wait longer than 1 s."""

WHOLE_RUN_STRIKES: Final = 2
"""Remembered strikes from which a request is on trial to its end."""


ONE_CRASH_MS: Final = 2_000.0
"""Attempts that fail on one replica within this time fail by one crash."""


@dataclass(slots=True, eq=False)
class Running:
    """An attempt under way."""

    fingerprint: str
    """The request."""

    replicas: list[str]
    """Its route."""

    on_trial: bool = False
    """Whether it runs where no other struck request runs."""

    tokens: int = 0
    """Tokens that it has given on this route."""

    @property
    def is_fresh(self) -> bool:
        """Whether it has only begun."""
        return self.tokens < PROVING_TOKENS


@dataclass(slots=True)
class _Crash:
    """One crash of a replica."""

    at_ms: float
    fresh: set[str]
    """Requests that had only begun there."""


class Quarantine:
    """Attempts under way at this host, and what is known of requests that crash."""

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
        """Strikes and convictions."""
        self.trials = trials
        """Places of struck requests."""
        self._clock = clock
        self._background = background
        self._running: set[Running] = set()
        self._crashes: dict[str, _Crash] = {}
        self._lost_streams: dict[str, float] = {}

    def start(self, fingerprint: str, replicas: list[str], on_trial: bool) -> Running:
        """Note an attempt; `end` it in any case."""
        running = Running(fingerprint, replicas, on_trial)
        self._running.add(running)
        return running

    def end(self, running: Running) -> None:
        """Note that an attempt and the handling of its fault are over."""
        self._running.discard(running)

    def note_lost_stream(self, model: str) -> None:
        """Note that a stream of a model was cut off, before anything is known of the cause."""
        self._lost_streams[model] = self._clock.now_ms()

    def hold_ms(self, model: str) -> float:
        """Return how long a new request of a model waits for the strikes of a likely crash.

        A host that only sees its own streams end knows of the crash, but not of the request behind
        it, which may be sent again through this very host before the strike has come.
        """
        lost_at_ms = self._lost_streams.get(model)
        if lost_at_ms is None:
            return 0.0
        return max(0.0, lost_at_ms + SETTLING_MS - self._clock.now_ms())

    def note_crash(self, running: Running, replica: str, boot_id: str) -> bool:
        """Give an attempt's request its strike for a crash.

        Args:
            running: The attempt.
            replica: The backend server that crashed.
            boot_id: Its life that ended; empty when it is not known.

        Returns:
            Whether the request is a suspect, which `must_isolate` is asked of once strikes are settled.
        """
        fresh = self._fresh_at_crash(replica)
        now_ms = self._clock.wall_ms()
        strike = Strike(replica, boot_id, now_ms, running.is_fresh, running.on_trial)
        self.register.strike(running.fingerprint, strike)
        if self.register.open_strikes(running.fingerprint) >= WHOLE_RUN_STRIKES:
            return True
        return running.fingerprint in fresh

    def must_isolate(self, fingerprint: str, ways: int) -> bool:
        """Whether a suspect whose stream was cut off has to run alone before it goes on among others.

        Args:
            fingerprint: The request; the strikes of its crash have settled.
            ways: Disjoint routes that are left.
        """
        if self.register.open_strikes(fingerprint) >= WHOLE_RUN_STRIKES:
            return True
        return self.register.count_suspects(fingerprint) <= MAX_ISOLATED * ways

    def release_trial(self, fingerprint: str) -> None:
        """Give up the place of a request on trial; a conviction is stored in the same step."""
        entry = self.register.find(fingerprint)
        convicted = entry if entry is not None and entry.convicted else None
        self.trials.release(fingerprint, convicted)

    def watch_abandoned(self, look: Coroutine[None, None, None]) -> None:
        """Run a look at a route whose caller left."""
        self._background.start(look, "quarantine: abandoned attempt")

    def needs_trial(self, fingerprint: str) -> bool:
        """Whether a request that comes anew was running at a crash and not well since."""
        return self.register.open_strikes(fingerprint) > 0

    def has_proved(self, running: Running) -> bool:
        """Whether an attempt has run long enough to be thought harmless."""
        if running.is_fresh:
            return False
        return self.register.total_strikes(running.fingerprint) < WHOLE_RUN_STRIKES

    def _fresh_at_crash(self, replica: str) -> set[str]:
        """Return the requests that had only begun on a replica when it crashed."""
        now_ms = self._clock.now_ms()
        crash = self._crashes.get(replica)
        if crash is not None and now_ms - crash.at_ms < ONE_CRASH_MS:
            return crash.fresh
        # The first to note a crash does so while all others on the replica are still noted.
        fresh = {
            running.fingerprint
            for running in self._running
            if replica in running.replicas and running.is_fresh
        }
        self._crashes = {
            name: old for name, old in self._crashes.items() if now_ms - old.at_ms < ONE_CRASH_MS
        }
        self._crashes[replica] = _Crash(now_ms, fresh)
        return fresh


def create_quarantine(
    host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
) -> Quarantine:
    """Build one host's quarantine.

    Args:
        host: Name of this host.
        clock: Tells the time.
        background: Runs what ends a trial in the service.
        store: The key-value service; `None` for none.

    Returns:
        The quarantine; share its register's entries with other hosts.
    """
    trials = create_trials(host, clock, background, store)
    return Quarantine(create_register(clock), trials, clock, background)
