"""Steps for requests that crash the replicas of the users' platform that run them."""

from __future__ import annotations

import http.client
import time
from typing import Any

from behave import then, when
from features.support.gateway_site import GATEWAYS
from features.support.site import wait_until

CRASHES = {
    "its first replica, with a reset": ("/lm/stream", b"poison"),
    "its first replica, which falls silent": ("/lm/stream", b"silent poison"),
    "the last replica of its path": ("/lm/stream", b"last part poison"),
    "a plain replica, with a reset": ("/read/poison", b"poison"),
    "a plain replica, which falls silent": ("/read/poison", b"silent poison"),
}
"""Path and body of a request by what it crashes."""

BACK_S = 1.2
"""When a caller sends again: the replica is back after 1 s."""

IN_TURN_S = 1.6
"""Time between the kills of two gateways."""


@when("a request that crashes {what} is sent {times:d} times through both gateways")
def send_through_both(context: Any, what: str, times: int) -> None:
    for number in range(times):
        send(context, what, GATEWAYS[number % 2])


def send(context: Any, what: str, gateway: str) -> None:
    """Send the request once, and wait until what it crashed is back."""
    path, body = CRASHES[what]
    wait_until(lambda: is_served(context, gateway, path), "it can be served", 10.0)
    try:
        reply = context.gateways.request(gateway, path, body=body)
        context.last = (reply.status, reply.json()["name"])
    except (OSError, http.client.HTTPException, ValueError):
        context.last = (0, "broken off")
    time.sleep(BACK_S)


def is_served(context: Any, gateway: str, path: str) -> bool:
    """Whether a gateway answers an innocent request on the same path."""
    try:
        return context.gateways.request(gateway, path).status == 200
    except (OSError, http.client.HTTPException, ValueError):
        return False


@when(
    "a request that crashes {what} is sent {times:d} times by a caller that leaves after {ms:d} ms"
)
def send_and_leave(context: Any, what: str, times: int, ms: int) -> None:
    path, body = CRASHES[what]
    for number in range(times):
        name = GATEWAYS[number % 2]
        wait_until(lambda name=name: is_served(context, name, path), "it can be served", 10.0)
        connection = http.client.HTTPConnection(context.gateways.ip(name), 7000, timeout=5.0)
        connection.request("POST", path, body, context.gateways.headers())
        time.sleep(ms / 1_000.0)
        connection.close()
        time.sleep(BACK_S)
    send(context, what, GATEWAYS[0])


@when("a request that crashes {what} is sent {times:d} times while the gateways are killed in turn")
def send_between_kills(context: Any, what: str, times: int) -> None:
    site = context.gateways
    for number in range(times):
        send(context, what, GATEWAYS[number % 2])
        if number % 2 == 0:
            continue
        for name in GATEWAYS:
            context.site.programs[name].kill()
            site.start_gateway(name)
            time.sleep(IN_TURN_S)


@then("at most {most:d} replicas have crashed and the request is refused from then on")
def check_crashes(context: Any, most: int) -> None:
    crashes = context.gateways.journal("crash")
    assert crashes, "nothing crashed"
    assert len(crashes) <= most, (len(crashes), context.last)
    assert context.last == (502, "quarantined"), context.last


@then("both gateways serve reads and streams again")
def check_innocents(context: Any) -> None:
    for name in GATEWAYS:
        for path in ("/read/poison", "/lm/stream"):
            wait_until(
                lambda name=name, path=path: is_served(context, name, path),
                f"{name} serves {path}",
                8.0,
            )
