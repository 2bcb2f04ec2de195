"""Steps for the soak."""

from __future__ import annotations

from typing import Any

from behave import then, when
from features.support.soak import soak


@when("a site is soaked for {seconds:d} s under seed {seed:d}")
def run_soak(context: Any, seconds: int, seed: int) -> None:
    context.result = soak(seed, float(seconds))
    print(dict(context.result.counts))


@when(
    "a site whose replicas only pause is soaked for {seconds:d} s under seed {seed:d} with "
    "{clients:d} streams through each gateway"
)
def run_pauses(context: Any, seconds: int, seed: int, clients: int) -> None:
    context.result = soak(seed, float(seconds), is_planned=True, stream_clients=clients)
    print(dict(context.result.counts))


@then("no promise was broken, and bookings and streams were served")
def check_soak(context: Any) -> None:
    assert not context.result.broken, context.result.broken[:10]
    assert context.result.counts["booking 200"] > 0
    assert context.result.counts["stream 200 whole"] > 0
