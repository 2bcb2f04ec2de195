"""Steps for streams that wait for a path, on simulated capacity without a network."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from pimentodale.admission.fair_queue import create_fair_queue
from pimentodale.clock import create_clock
from pimentodale.forwarding.path_queue import PathQueue, PathRequest, create_path_queue
from pimentodale.placement.paths import Path

if TYPE_CHECKING:
    from collections.abc import Callable

USUAL_TOKENS: Final = 1_000.0
WAIT_MS: Final = 1_300.0
PATH: Final = Path((), 1.0)
FOREVER_MS: Final = 1e12
EXAMPLES: Final = {"derandomize": True, "deadline": None, "database": None}


@dataclass(slots=True)
class Outcome:
    """Outcome of one stream."""

    workspace: str
    rank: int
    tokens: float
    arrived_ms: float
    waited_ms: float = 0.0
    is_served: bool = False


@dataclass(slots=True)
class QueueBench:
    """Simulated capacity in tokens, and the queue for it."""

    capacity_tokens: float
    run_ms: float
    used_tokens: float = 0.0
    used_token_ms: float = 0.0
    pause_ms: float = 0.0
    """Time for which the process is paused each second."""
    queue: PathQueue = field(default_factory=lambda: create_path_queue(create_clock()))
    outcomes: list[Outcome] = field(default_factory=list)

    def take(self, tokens: float) -> None:
        """Use capacity."""
        self.used_tokens += tokens

    def release(self, tokens: float) -> None:
        """Release capacity and wake the queue."""
        self.used_tokens -= tokens
        self.queue.wake()

    async def send(self, workspace: str, tokens: float = USUAL_TOKENS, rank: int = 1) -> Outcome:
        """Send one stream as the gateway does."""
        clock = create_clock()
        outcome = Outcome(workspace, rank, tokens, clock.now_ms())
        self.outcomes.append(outcome)
        path_request = PathRequest(
            workspace=workspace,
            rank=rank,
            tokens=tokens,
            usual_tokens=USUAL_TOKENS,
            is_begun=False,
            find=lambda: PATH if self.used_tokens + tokens <= self.capacity_tokens else None,
            is_feasible=lambda: True,
            reserve=lambda _path: self.take(tokens),
            release=lambda _path: self.release(tokens),
        )
        path = await self.queue.wait(path_request, WAIT_MS)
        outcome.waited_ms = clock.now_ms() - outcome.arrived_ms
        if path is None:
            return outcome
        outcome.is_served = True
        self.take(tokens)
        self.queue.started(workspace, tokens)
        started_ms = clock.now_ms()
        try:
            await clock.sleep_ms(self.run_ms)
        finally:
            ran_ms = clock.now_ms() - started_ms
            self.used_token_ms += tokens * ran_ms
            self.queue.ended(workspace, tokens, ran_ms)
            self.release(tokens)
        return outcome

    async def pause_host(self, time_s: float) -> None:
        """Block the process once a second, as a pause of its host does."""
        for _ in range(int(time_s) - 1):
            await asyncio.sleep(1.0)
            time.sleep(self.pause_ms / 1000.0)  # noqa: ASYNC251 -- blocks the loop on purpose.

    async def flow(self, rate: float, time_s: float, send: Callable[[], Any]) -> None:
        """Send streams at a constant rate and wait until all have ended."""
        clock = create_clock()
        start_ms = clock.now_ms()
        tasks = []
        for number in range(int(rate * time_s)):
            await clock.sleep_ms(start_ms + number * 1000.0 / rate - clock.now_ms())
            tasks.append(asyncio.create_task(send()))
        await asyncio.gather(*tasks)


@given("capacity for {count:d} streams of the usual size, each of which runs for {run_ms:d} ms")
def create_capacity(context: Any, count: int, run_ms: int) -> None:
    context.bench = QueueBench(count * USUAL_TOKENS, float(run_ms))


@given("capacity for {count:d} streams of the usual size, all of it in use for {taken_ms:d} ms")
def create_used_capacity(context: Any, count: int, taken_ms: int) -> None:
    context.bench = QueueBench(count * USUAL_TOKENS, float(taken_ms))


@when("the host is paused for {still_ms:d} ms each second")
def set_pause(context: Any, still_ms: int) -> None:
    context.bench.pause_ms = float(still_ms)


@when(
    '"{one}" and "{other}" send {few:d} streams a second each and "{loud}" {many:d} a second for '
    "{time_s:d} s"
)
def send_loud(
    context: Any, one: str, other: str, few: int, loud: str, many: int, time_s: int
) -> None:
    bench = context.bench
    context.time_ms = time_s * 1000.0

    async def run() -> None:
        await asyncio.gather(
            bench.flow(few, time_s, lambda: bench.send(one)),
            bench.flow(few, time_s, lambda: bench.send(other)),
            bench.flow(many, time_s, lambda: bench.send(loud)),
            bench.pause_host(time_s),
        )

    asyncio.run(run())


@then(
    'no stream of "{one}" and "{other}" is refused, and {share:d} in 100 of them wait for at most {limit_ms:d} ms'
)
def check_both_served(context: Any, one: str, other: str, share: int, limit_ms: int) -> None:
    check_served(context, (one, other), share, limit_ms)


@then(
    'no stream of "{name}" is refused, and {share:d} in 100 of them wait for at most {limit_ms:d} ms'
)
def check_one_served(context: Any, name: str, share: int, limit_ms: int) -> None:
    check_served(context, (name,), share, limit_ms)


def check_served(context: Any, names: tuple[str, ...], share: int, limit_ms: int) -> None:
    """Check that streams of the given workspaces were served within a limit."""
    own = [outcome for outcome in context.bench.outcomes if outcome.workspace in names]
    waits_ms = sorted(outcome.waited_ms for outcome in own)
    refused = [outcome for outcome in own if not outcome.is_served]
    at_share_ms = waits_ms[int(len(waits_ms) * share / 100)]
    print(f"{len(own)} streams, {len(refused)} refused, p{share} {at_share_ms:.0f} ms")
    assert not refused, refused[:3]
    assert at_share_ms <= limit_ms, at_share_ms


@then("{share:d} in 100 refusals come within {limit_ms:d} ms")
def check_refusals(context: Any, share: int, limit_ms: int) -> None:
    waits_ms = sorted(o.waited_ms for o in context.bench.outcomes if not o.is_served)
    late = [wait_ms for wait_ms in waits_ms if wait_ms > limit_ms]
    print(f"{len(waits_ms)} refused, {len(late)} of them after {limit_ms} ms")
    assert len(waits_ms) > 100, len(waits_ms)
    assert len(late) <= len(waits_ms) * (100 - share) / 100, late[:5]


@then("at least {share:d} in 100 of the capacity was used")
def check_used(context: Any, share: int) -> None:
    used = context.bench.used_token_ms / (context.bench.capacity_tokens * context.time_ms)
    print(f"{used:.3f} of the capacity was used")
    assert used >= share / 100, used


@when(
    "a stream of {times:d} times the usual size arrives, then {rate:d} small ones a second for {time_s:d} s"
)
def send_huge(context: Any, times: int, rate: int, time_s: int) -> None:
    bench = context.bench

    async def run() -> None:
        warm = asyncio.create_task(bench.flow(rate, 0.3, lambda: bench.send("lab")))
        await asyncio.sleep(0.25)
        huge = asyncio.create_task(bench.send("lab", times * USUAL_TOKENS))
        await bench.flow(rate, time_s, lambda: bench.send("lab"))
        context.huge = await huge
        await warm

    asyncio.run(run())


@then("small ones overtake it, and it gets its path within {limit_ms:d} ms")
def check_huge(context: Any, limit_ms: int) -> None:
    huge = context.huge
    print(f"the huge stream waited {huge.waited_ms:.0f} ms")
    assert huge.is_served, huge
    assert huge.waited_ms <= limit_ms, huge
    passed = [
        outcome
        for outcome in context.bench.outcomes
        if outcome.is_served and outcome.tokens == USUAL_TOKENS
        if huge.arrived_ms < outcome.arrived_ms
        if outcome.arrived_ms + outcome.waited_ms < huge.arrived_ms + huge.waited_ms
    ]
    assert len(passed) > 5, len(passed)


@then("at most {share:d} in 100 of the small ones are refused")
def check_small(context: Any, share: int) -> None:
    small = [outcome for outcome in context.bench.outcomes if outcome.tokens == USUAL_TOKENS]
    refused = [outcome for outcome in small if not outcome.is_served]
    print(f"{len(refused)} of {len(small)} small ones were refused")
    assert len(refused) <= len(small) * share / 100


@when(
    '"{loud}" sends {many:d} streams a second for {time_s:d} s, retrying each at once after a refusal, and "{quiet}" {few:d} a second'
)
def send_repeating(context: Any, loud: str, many: int, time_s: int, quiet: str, few: int) -> None:
    bench = context.bench

    async def send_until_served() -> None:
        for _ in range(4):
            outcome = await bench.send(loud)
            if outcome.is_served:
                return

    async def run() -> None:
        await asyncio.gather(
            bench.flow(many, time_s, send_until_served),
            bench.flow(few, time_s, lambda: bench.send(quiet)),
        )

    asyncio.run(run())


@when("{count:d} streams of rank {low:d} wait and then {others:d} of rank {high:d}")
def send_ranks(context: Any, count: int, low: int, others: int, high: int) -> None:
    bench = context.bench
    context.ranks = (high, low)

    async def run() -> None:
        places = int(bench.capacity_tokens / USUAL_TOKENS)
        tasks = [asyncio.create_task(bench.send("first")) for _ in range(places)]
        await asyncio.sleep(0.05)
        bench.run_ms = 50.0
        for rank, many in ((low, count), (high, others)):
            tasks += [asyncio.create_task(bench.send(f"w{rank}", rank=rank)) for _ in range(many)]
            await asyncio.sleep(0.02)
        # Capacity becomes free for one stream at a time, so that the order is visible.
        bench.take(bench.capacity_tokens - USUAL_TOKENS)
        await asyncio.gather(*tasks)

    asyncio.run(run())


@then("those of rank {high:d} get their paths first")
def check_ranks(context: Any, high: int) -> None:
    waiting = [outcome for outcome in context.bench.outcomes if outcome.workspace != "first"]
    served = [outcome for outcome in waiting if outcome.is_served]
    served.sort(key=lambda outcome: outcome.arrived_ms + outcome.waited_ms)
    assert len(served) >= 10, len(served)
    first = [outcome.rank for outcome in served[:10]]
    assert first == [high] * 10, [outcome.rank for outcome in served]


@when("{count:d} streams arrive and a third of them are cancelled at random times")
def send_leaving(context: Any, count: int) -> None:
    bench = context.bench
    rng = context.site.rng

    async def run() -> None:
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(bench.send(rng.choice(("lab", "desk", "bulk")))))
            await asyncio.sleep(rng.random() * 0.001)
            if rng.random() < 0.33:
                rng.choice(tasks[-20:]).cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@then("all capacity is free again and the queue is empty")
def check_free(context: Any) -> None:
    assert context.bench.used_tokens == 0.0, context.bench.used_tokens
    assert len(context.bench.queue) == 0


@when(
    "first entries of {count:d} random queues are cancelled, and the next entry of each workspace is read"
)
def cancel_first_entries(context: Any, count: int) -> None:
    entry = st.tuples(st.integers(0, 4), st.floats(1, 9), st.booleans())
    context.pairs = []

    @property_settings(max_examples=count, **EXAMPLES)
    @property_given(st.lists(entry, max_size=40))
    def examine(entries: list[tuple[int, float, bool]]) -> None:
        queue = create_fair_queue()
        pushed = []
        for number, (lane, cost, _) in enumerate(entries):
            pushed.append(queue.push(number, f"w{lane}", 1.0, cost, FOREVER_MS))
        for number, (_, _, is_lost) in enumerate(entries):
            if is_lost:
                queue.cancel(pushed[number])
        lanes: dict[int, list[int]] = {}
        for number, (lane, _, is_lost) in enumerate(entries):
            if not is_lost:
                lanes.setdefault(lane, []).append(number)
        while firsts := queue.next_entries(0.0, 10):
            seen = {first.item for first in firsts}
            context.pairs.append((seen, {lane[0] for lane in lanes.values() if lane}))
            # Any of the entries may be taken, not only the first.
            queue.take(firsts[-1])
            lanes[entries[firsts[-1].item][0]].pop(0)
        context.pairs.append((set(), {lane[0] for lane in lanes.values() if lane}))

    examine()


@then("the next entry is always the first live one of each workspace")
def check_next_entries(context: Any) -> None:
    assert context.pairs
    for seen, expected in context.pairs:
        assert seen == expected, (seen, expected)
