"""Steps for the Retry-After times of refused clients."""

from __future__ import annotations

from bisect import bisect_left
from typing import Any

from behave import given, then, when

from pimentodale.clock import ManualClock
from pimentodale.forwarding.retry_schedule import create_retry_schedule


@given("a host at which {count:d} streams have begun in each of the last {time_s:d} s")
def begin_streams(context: Any, count: int, time_s: int) -> None:
    context.clock = ManualClock()
    context.schedule = create_retry_schedule(context.clock)
    for _ in range(count * time_s):
        context.schedule.note_begun()
        context.clock.advance(1_000.0 / count)


@when("{count:d} clients are refused within {time_s:d} s")
def refuse_clients(context: Any, count: int, time_s: int) -> None:
    context.retry_after_ms = []
    context.return_ms = []
    for _ in range(count):
        retry_after_ms = context.schedule.take_retry_after_ms()
        context.retry_after_ms.append(retry_after_ms)
        context.return_ms.append(context.clock.now_ms() + retry_after_ms)
        context.clock.advance(time_s * 1_000.0 / count)


@then("each is told to retry after {least_ms:d} to {most_ms:d} ms")
def check_retry_after(context: Any, least_ms: int, most_ms: int) -> None:
    assert all(
        least_ms <= after_ms <= most_ms for after_ms in context.retry_after_ms
    ), context.retry_after_ms


@then("no more than {most:d} of them return within any second")
def check_spread(context: Any, most: int) -> None:
    for index, start_ms in enumerate(context.return_ms):
        count = bisect_left(context.return_ms, start_ms + 1_000.0) - index
        assert count <= most, (start_ms, count)


@then("the clients return in the order of their refusals")
def check_order(context: Any) -> None:
    assert context.return_ms == sorted(context.return_ms), context.return_ms
