"""Steps for streams that run while a gateway is stopped or its configuration changes."""

from __future__ import annotations

import signal
import threading
import time
from typing import Any, Final

from behave import then, when
from features.support.gateway_site import KEY
from features.support.site import wait_until

CONFIGURATION_INTERVAL_S: Final = 0.4

MIN_IN_FORCE: Final = 5
"""Versions that come in force at the gateway, of six; one may be passed over."""

PAUSE_S: Final = 0.9
BETWEEN_PAUSES_S: Final = 0.5


def set_limits(value: dict[str, Any]) -> None:
    """Close idle connections soon."""
    value["limits"] = {"idle_timeout_ms": 200, "header_timeout_ms": 200}


def remove_route(value: dict[str, Any]) -> None:
    """Remove the route of the streams."""
    value["routes"] = [route for route in value["routes"] if route["service"] != "lm"]


def move_route(value: dict[str, Any]) -> None:
    """Lead the route of the streams to another service, and end its requests soon."""
    for route in value["routes"]:
        if route["service"] == "lm":
            route.update(service="plain", kind="idempotent", resumable=False, timeout_ms=300)


def remove_key(value: dict[str, Any]) -> None:
    """Remove the key of the streams."""
    assert value["tenants"][0]["api_keys"] == [KEY]
    value["tenants"] = [{"name": "w2", "api_keys": ["key-2"]}]


def tighten_limits(value: dict[str, Any]) -> None:
    """Allow hardly any header or body."""
    value["limits"] = {"max_header_bytes": 64, "max_body_bytes": 1, "idle_timeout_ms": 100}


def remove_service(value: dict[str, Any]) -> None:
    """Remove the service of the streams with its route."""
    remove_route(value)
    value["services"] = [each for each in value["services"] if each["name"] != "lm"]


CHANGES: Final = (
    set_limits,
    remove_route,
    move_route,
    remove_key,
    tighten_limits,
    remove_service,
)


@when("24 streams of a gateway run on kept connections through {work}")
def run_through(context: Any, work: str) -> None:
    site, gateway = context.gateways, context.site.programs["g1"]
    context.streams = [site.open_stream("g1", is_kept=True) for _ in range(24)]
    wait_until(
        lambda: all(len(stream.events) >= 3 for stream in context.streams), "streams run", 5.0
    )
    in_force = gateway.log.read_text(errors="replace").count("A configuration is in force.")
    if "planned stop" in work:
        gateway.process.send_signal(signal.SIGTERM)
    others = []
    if "restart" in work:
        others.append(threading.Thread(target=restart_other, args=(context,)))
    if "pauses" in work:
        others.append(threading.Thread(target=pause_replicas, args=(context,)))
    for other in others:
        other.start()
    for change in CHANGES:
        site.configure(change=change)
        time.sleep(CONFIGURATION_INTERVAL_S)
    running = sum(not stream.is_over for stream in context.streams)
    in_force = (
        gateway.log.read_text(errors="replace").count("A configuration is in force.") - in_force
    )
    for other in others:
        other.join()
    print(f"{in_force} configurations came in force, {running} streams ran still")
    assert in_force >= MIN_IN_FORCE, in_force
    wait_until(lambda: all(stream.is_over for stream in context.streams), "streams end", 15.0)


def restart_other(context: Any) -> None:
    """Stop the other gateway as planned work does, and start it again."""
    context.site.programs["g2"].terminate()
    context.gateways.start_gateway("g2")


def pause_replicas(context: Any) -> None:
    """Let all replicas pause twice and go on."""
    replicas = context.site.programs["replicas"]
    for _ in range(2):
        replicas.freeze()
        time.sleep(PAUSE_S)
        replicas.wake()
        time.sleep(BETWEEN_PAUSES_S)


@then("the gateway closed no connection of an unfinished answer")
def check_closed(context: Any) -> None:
    log = context.site.programs["g1"].log.read_text(errors="replace")
    for line in (
        "This host closed the connection of an unfinished response.",
        "A client disconnected.",
    ):
        assert line not in log, line
