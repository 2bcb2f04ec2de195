"""Steps for the stand-in replicas of the users' platform, called without a gateway."""

from __future__ import annotations

import http.client
from typing import Any

from behave import given, then, when
from features.support.gateway_site import LAYERS, create_gateway_site
from features.support.site import http as call
from features.support.site import wait_until

EVENTS = 20
HALF = LAYERS // 2
RANGES = {"a1": (0, HALF), "a2": (HALF, LAYERS), "a3": (HALF, LAYERS)}
LOAD_BOUND_S = 5.0


@given("stand-in replicas that hold the halves of a model, the second half twice")
def hold_halves(context: Any) -> None:
    site = create_gateway_site(context.site)
    context.gateways = site
    site.start_platform(events=EVENTS, event_ms=20.0)
    for name, (first, end) in RANGES.items():
        context.site.wait_ready(f"http://{site.ip(name)}:8001/healthz")
        order = {"operation": "place", "from": first, "to": end, "fence": 1, "expected": 0}
        assert call(f"http://{site.ip(name)}:8000/api/order", order).status == 202
        wanted = {"from": first, "to": end, "version": 1}
        wait_until(
            lambda name=name, wanted=wanted: report(site, name)["layers"] == wanted,
            f"{name} holds its layers",
            LOAD_BOUND_S,
        )


def report(site: Any, name: str) -> dict[str, Any]:
    return dict(call(f"http://{site.ip(name)}:8000/api/report").json())


def send(site: Any, last_event: str, later: str) -> http.client.HTTPConnection:
    """Send the stream to a1 on a path that ends at another replica."""
    steps = [
        f"{site.ip(name)}:8002={first}-{end}"
        for name, (first, end) in RANGES.items()
        if name in ("a1", later)
    ]
    headers = {"Pimentodale-Attempt-Id": "attempt-1", "Pimentodale-Hop-Count": ",".join(steps)}
    connection = http.client.HTTPConnection(site.ip("a1"), 8000, timeout=10.0)
    connection.request("POST", "/lm/x", b"body", headers | {"Last-Event-Id": last_event})
    return connection


@when("a stream waits for its second half, which has fallen silent")
def wait_for_half(context: Any) -> None:
    site = context.gateways
    context.first = send(site, "0", "a2")
    site.fault("a2", down=True, down_mode="silent")
    wait_until(lambda: report(site, "a1")["stalled"], "the stream stalls", 2.0)
    context.made = len(site.journal("event"))


@when("its caller leaves and sends it again past the silent replica")
def send_again(context: Any) -> None:
    context.first.close()
    context.second = send(context.gateways, str(context.made), "a3")


@then("the second run ends whole, with each further event once")
def check_whole(context: Any) -> None:
    answer = context.second.getresponse()
    lines = answer.read().split(b"\n")
    events = [int(line[3:]) for line in lines if line.startswith(b"id:")]
    assert answer.status == 200
    assert events == list(range(context.made + 1, EVENTS + 1)), events


@then("the first replica reports nothing as stalled")
def check_no_stall(context: Any) -> None:
    assert not report(context.gateways, "a1")["stalled"]
