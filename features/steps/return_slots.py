"""Steps for the times at which refused clients are told to come back."""

from __future__ import annotations

from bisect import bisect_left
from typing import Any

from behave import given, then, when

from pimentodale.clock import ManualClock
from pimentodale.forwarding.return_slots import create_return_slots


@given("a host at which {count:d} streams have begun in each of the last {time_s:d} s")
def begin_streams(context: Any, count: int, time_s: int) -> None:
    context.clock = ManualClock()
    context.slots = create_return_slots(context.clock)
    for _ in range(count * time_s):
        context.slots.note_begun()
        context.clock.advance(1_000.0 / count)


@when("{count:d} clients are refused within {time_s:d} s")
def refuse_crowd(context: Any, count: int, time_s: int) -> None:
    context.told_ms = []
    context.back_ms = []
    for _ in range(count):
        told_ms = context.slots.take_ms()
        context.told_ms.append(told_ms)
        context.back_ms.append(context.clock.now_ms() + told_ms)
        context.clock.advance(time_s * 1_000.0 / count)


@then("each is told to come back after {least_ms:d} to {most_ms:d} ms")
def check_told(context: Any, least_ms: int, most_ms: int) -> None:
    assert all(least_ms <= told_ms <= most_ms for told_ms in context.told_ms), context.told_ms


@then("no more than {most:d} of them come back within any second")
def check_spread(context: Any, most: int) -> None:
    for index, start_ms in enumerate(context.back_ms):
        count = bisect_left(context.back_ms, start_ms + 1_000.0) - index
        assert count <= most, (start_ms, count)


@then("who was refused first comes back first")
def check_order(context: Any) -> None:
    assert context.back_ms == sorted(context.back_ms), context.back_ms
