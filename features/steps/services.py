"""Steps for calls to plain services."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from features.support.layout import headers_of
from features.support.resends import ENTRIES, SERVICES, set_service_fault
from features.support.site import http, read_journal, wait_until


@when(
    "replica {number:d} of the plain service is killed and its status is read {times:d} times "
    "through entry host {entry:d}"
)
def read_status(context: Any, number: int, times: int, entry: int) -> None:
    context.site.programs[f"rigs-{number}"].kill()
    url = context.layout.entry_url(entry, "/services/rigs/status/rig-1")
    context.replies = [http(url, headers=headers_of("lab")) for _ in range(times)]


@when('the plain service gets a POST to "{path}" without a key through entry host {entry:d}')
def post_keyless(context: Any, path: str, entry: int) -> None:
    url = context.layout.entry_url(entry, f"/services/rigs{path}")
    context.replies = [http(url, {"text": "one"}, headers=headers_of("lab"))]


@when("all replicas of the plain service lose their replies")
def lose_replies(context: Any) -> None:
    for number in range(SERVICES):
        set_service_fault(context.layout, number, "reply_lost", 1000)


POISON_PATHS = {"with a reset": "status/poison", "into silence": "status/silent-poison"}
"""Path of a status read, by the way it crashes its replica."""


@when(
    "a status read that crashes its replica {how} is sent {times:d} times, each time through the "
    "next entry host"
)
def read_and_crash(context: Any, how: str, times: int) -> None:
    context.replies = []
    for number in range(times):
        wait_until(lambda number=number: reads_status(context, number), "it is served", 10.0)
        url = context.layout.entry_url(number % ENTRIES, f"/services/rigs/{POISON_PATHS[how]}")
        context.replies.append(http(url, headers=headers_of("lab")))
        # The caller sends the next request once the replicas are back.
        time.sleep(1.2)


def reads_status(context: Any, number: int) -> bool:
    """Whether an entry host serves a status read that crashes nothing."""
    url = context.layout.entry_url(number % ENTRIES, "/services/rigs/status/rig-1")
    return bool(http(url, headers=headers_of("lab")).status == 200)


@then('at most {most:d} replicas ran it, and its last answer is "{name}"')
def check_crashes(context: Any, most: int, name: str) -> None:
    runs = [run for run in context.layout.service_runs() if "poison" in run["path"]]
    names = [reply.json()["name"] for reply in context.replies]
    assert runs, "it never ran"
    assert len(runs) <= most, (len(runs), names)
    assert names[-1] == name, names


@then("a status read that crashes nothing is served")
def check_harmless_read(context: Any) -> None:
    wait_until(lambda: reads_status(context, 0), "it is served", 5.0)


@when(
    "all replicas of the plain service reject calls for 5 s, and its status is read "
    "{times:d} times"
)
def read_while_rejecting(context: Any, times: int) -> None:
    for number in range(SERVICES):
        order = {"fault": "refuse", "retry_after": "5"}
        http(f"http://{context.layout.service_address(number)}/admin/faults", order)
    url = context.layout.entry_url(0, "/services/rigs/status/rig-1")
    context.replies = [http(url, headers=headers_of("lab")) for _ in range(times)]


@then("each replica rejected at most two calls")
def check_rejected(context: Any) -> None:
    for number in range(SERVICES):
        lines = read_journal(context.layout.journal(f"rigs-{number}"))
        refused = [line for line in lines if line["event"] == "service_refused"]
        assert 1 <= len(refused) <= 2, (number, len(refused))


@then("the later reads were refused with a retry delay of at most {bound_s:d} s")
def check_retry_delay(context: Any, bound_s: int) -> None:
    for reply in context.replies[3:]:
        assert reply.status == 503, reply
        assert 0.0 < reply.json()["retry_after_ms"] <= bound_s * 1_000.0, reply


@then("every plain service answer is {status:d}")
def check_statuses(context: Any, status: int) -> None:
    assert {reply.status for reply in context.replies} == {status}, context.replies


@then('the plain service answer is "{name}" with ran "{ran}"')
def check_plain_refusal(context: Any, name: str, ran: str) -> None:
    answer = context.replies[-1].json()
    assert (answer["name"], answer["ran"]) == (name, ran), answer


@then("the plain service ran {count:d} call")
@then("the plain service ran {count:d} calls")
def check_runs(context: Any, count: int) -> None:
    assert len(context.layout.service_runs()) == count, context.layout.service_runs()


@given("entry host {entry:d} has {time_s:d} s to stop")
def limit_stop(context: Any, entry: int, time_s: int) -> None:
    layout = context.layout
    layout.site.programs[f"entry-{entry}"].kill()
    layout.entry = {**layout.entry, "stop_timeout_ms": time_s * 1_000.0}
    layout.start_entry(entry)
    url = layout.entry_url(entry, "/services/rigs/status/x")
    wait_until(lambda: is_served(url), "the host serves", 20.0)


def is_served(url: str) -> bool:
    try:
        return http(url, headers=headers_of("lab")).status == 200
    except OSError:
        return False


@when(
    'all replicas are silent, and a POST to "{path}" is sent through entry host {entry:d}, which is'
    " stopped {delay_s:g} s later"
)
def stop_during_call(context: Any, path: str, entry: int, delay_s: float) -> None:
    layout = context.layout
    for name, program in layout.site.programs.items():
        if name.startswith("rigs-"):
            program.freeze()
    url = layout.entry_url(entry, f"/services/rigs{path}")
    with ThreadPoolExecutor(1) as pool:
        headers = headers_of("lab") | {"X-Request-Timeout-Ms": "20000"}
        sent = pool.submit(http, url, {"text": "one"}, headers=headers, timeout_s=25.0)
        time.sleep(delay_s)
        began_s = time.monotonic()
        layout.site.programs[f"entry-{entry}"].process.terminate()
        context.replies = [sent.result()]
        context.took_s = time.monotonic() - began_s


@then("it came at most {limit_s:d} s after the stop began")
def check_answer_time(context: Any, limit_s: int) -> None:
    assert context.took_s <= limit_s, context.took_s
