"""Steps for the ledger with real processes; the journals of the services show what ran."""

from __future__ import annotations

import base64
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.resends import (
    ENTRIES,
    SERVICES,
    Send,
    judge,
    run_resends,
    send_reservation,
    set_service_fault,
    set_store_faults,
    start_site,
)
from features.support.site import http, wait_until

from pimentodale.clients.key_value import prefix_end
from pimentodale.ledger.records import LEDGER_PREFIX

if TYPE_CHECKING:
    from features.support.layout import Layout


def _send(context: Any, key: str, entry: int) -> Send:
    """Send one reservation and record the result."""
    sent = send_reservation(context.layout, f"send-{len(context.sends)}-{key}", key, entry)
    context.sends.append(sent)
    return sent


def _is_claimed(context: Any) -> bool:
    """Whether the ledger contains any record."""
    body = {
        "key": base64.b64encode(LEDGER_PREFIX.encode()).decode(),
        "range_end": base64.b64encode(prefix_end(LEDGER_PREFIX).encode()).decode(),
    }
    address = context.layout.key_value_address
    return bool(http(f"http://{address}/v3/kv/range", body).json().get("kvs"))


@given("a ledger site with six entry hosts and three replicas of a service")
def start_ledger_site(context: Any) -> None:
    context.layout = start_site(context.site)
    context.sends = []
    context.verdict = None


@when("one key is sent through all six entry hosts at once, {times:d} times over")
def send_at_once(context: Any, times: int) -> None:
    with ThreadPoolExecutor(ENTRIES) as pool:
        for number in range(times):
            futures = [
                pool.submit(
                    send_reservation, context.layout, f"s-{number}-{entry}", f"k-{number}", entry
                )
                for entry in range(ENTRIES)
            ]
            context.sends.extend(future.result() for future in futures)


@when('a reservation under ledger key "{key}" is sent through entry host {entry:d}')
def send_one(context: Any, key: str, entry: int) -> None:
    _send(context, key, entry)


@when("the key-value service of the ledger site goes down")
def stop_store(context: Any) -> None:
    set_store_faults(context.layout, {"down": True})


@when("the key-value service of the ledger site comes up")
def start_store(context: Any) -> None:
    set_store_faults(context.layout, {})


@when(
    'a reservation under ledger key "{key}" is sent through entry host {entry:d} '
    "until it is answered"
)
def send_until_answered(context: Any, key: str, entry: int) -> None:
    wait_until(lambda: _send(context, key, entry).status == 200, "the retry is answered")


@when('entry host {entry:d} is frozen while a reservation under ledger key "{key}" is sent to it')
def freeze_with_call(context: Any, entry: int, key: str) -> None:
    context.site.programs[f"entry-{entry}"].freeze()
    context.frozen_key = key
    _send(context, key, entry)


@when("its caller times out and the key is sent through entry host {entry:d}")
def send_elsewhere(context: Any, entry: int) -> None:
    assert context.sends[-1].status == 0, context.sends[-1]
    _send(context, context.frozen_key, entry)


@when("entry host {entry:d} resumes and the key is sent through entry host {other:d}")
def resume_and_send(context: Any, entry: int, other: int) -> None:
    layout: Layout = context.layout
    context.site.programs[f"entry-{entry}"].wake()
    context.site.wait_ready(layout.entry_url(entry, "/readyz"))
    _send(context, context.frozen_key, other)
    _send(context, context.frozen_key, entry)


@when(
    'all replicas of the service are killed and the ledger key "{key}" is sent through '
    "entry host {entry:d}"
)
def kill_services(context: Any, key: str, entry: int) -> None:
    assert context.sends[-1].status == 0, context.sends[-1]
    for number in range(SERVICES):
        context.site.programs[f"rigs-{number}"].kill()
    _send(context, key, entry)


@when(
    "the replicas of the service restart and entry host {entry:d} resumes and serves "
    'ledger key "{key}"'
)
def restart_services(context: Any, entry: int, key: str) -> None:
    layout: Layout = context.layout
    for number in range(SERVICES):
        layout.start_service(number)
        layout.site.wait_ready(f"http://{layout.service_address(number)}/status/up")
    context.site.programs[f"entry-{entry}"].wake()
    wait_until(lambda: _send(context, key, entry).status == 200, "the resumed host serves")


@when("an entry host is killed {points} ms after it was sent a reservation")
def kill_at_points(context: Any, points: str) -> None:
    layout: Layout = context.layout
    for number, text in enumerate(points.replace(" and ", ", ").split(", ")):
        key = f"killed-{text}"
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(send_reservation, layout, f"{key}-first", key, number % ENTRIES)
            # The delay before the kill is what the scenario varies, so it is a fixed time.
            time.sleep(int(text) / 1000.0)
            layout.site.programs[f"entry-{number % ENTRIES}"].kill()
            context.sends.append(future.result())
        layout.start_entry(number % ENTRIES)
        for entry in ((number + 1) % ENTRIES, (number + 2) % ENTRIES):
            layout.site.wait_ready(layout.entry_url(entry, "/readyz"))
            _send(context, key, entry)


@when(
    'entry host {entry:d} is killed while a reservation under ledger key "{key}" runs on a slow '
    "service"
)
def kill_at_slow_service(context: Any, entry: int, key: str) -> None:
    layout: Layout = context.layout
    for number in range(SERVICES):
        set_service_fault(layout, number, "slow", 1000)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_reservation, layout, f"first-{key}", key, entry)
        wait_until(lambda: _is_claimed(context), "the key is claimed")
        layout.site.programs[f"entry-{entry}"].kill()
        context.sends.append(future.result())


@when('the ledger key "{key}" is sent through entry host {entry:d} until it is "{name}"')
def send_until_named(context: Any, key: str, entry: int, name: str) -> None:
    def is_named() -> bool:
        sent = _send(context, key, entry)
        assert sent.status != 200, sent
        return bool(sent.answer.get("name") == name)

    wait_until(is_named, f"the retry is {name}")


@when("{keys:d} ledger keys are sent {sends:d} times through all entry hosts while faults run")
def send_under_faults(context: Any, keys: int, sends: int) -> None:
    context.verdict = run_resends(context.layout, keys, sends)
    print(context.verdict)


@then('no key ran twice and no answer "not run" was false')
def check_ledger_verdict(context: Any) -> None:
    context.verdict = context.verdict or judge(context.layout, context.sends)
    assert context.verdict.sends, "nothing was sent"
    assert context.verdict.good, context.verdict


@then("at least {faults:d} faults ran and at least {keys:d} of the keys ran")
def check_fault_counts(context: Any, faults: int, keys: int) -> None:
    assert sum(context.verdict.faults.values()) >= faults, context.verdict
    assert context.verdict.keys_run >= keys, context.verdict


@then('the ledger site\'s last answer is "{name}", ran "{ran}", within {limit_ms:d} ms')
def check_last_refusal(context: Any, name: str, ran: str, limit_ms: int) -> None:
    sent = context.sends[-1]
    assert sent.answer.get("name") == name, sent
    assert sent.answer["ran"] == ran, sent
    assert sent.end_ms - sent.start_ms < limit_ms, sent


@then("the ledger site's last answer is the outcome of the first")
def check_same_outcome(context: Any) -> None:
    first, last = context.sends[0], context.sends[-1]
    assert first.status == last.status == 200, (first, last)
    assert first.answer == last.answer, (first, last)
    assert judge(context.layout, context.sends).good
