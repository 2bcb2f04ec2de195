"""Steps that send what no caller should."""

from __future__ import annotations

import json
import socket
import time
from typing import Any, Final

from behave import then, when
from features.support.layout import ENTRY_NUMBER, ENTRY_PORT, headers_of
from features.support.site import http
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

BAD_HEADERS: Final = (
    {"X-Request-Timeout-Ms": "soon"},
    {"X-Request-Timeout-Ms": "-5"},
    {"X-Request-Timeout-Ms": "nan"},
    {"X-Request-Timeout-Ms": "99999999999"},
    {"Idempotency-Key": "k" * 256},
    {"Idempotency-Key": "two words"},
)
EXAMPLES: Final = 60
SOCKET_TIMEOUT_S: Final = 2.0


@when("these requests are sent to entry host {number:d}")
def send_rows(context: Any, number: int) -> None:
    context.answers = []
    for row in context.table:
        headers = {"Authorization": f"Bearer {row['token']}"} if row["token"] else {}
        body = row["body"].encode() if row["body"] else None
        start = time.monotonic()
        url = context.layout.entry_url(number, row["path"])
        reply = http(url, body, method=row["method"], headers=headers)
        context.answers.append((row, reply, time.monotonic() - start))


@then("each answer has its code, says not_run and came within {limit_ms:d} ms")
def check_rows(context: Any, limit_ms: int) -> None:
    for row, reply, passed_s in context.answers:
        refusal = reply.json()
        assert refusal["code"] == int(row["code"]), (row, refusal)
        assert refusal["ran"] == "not_run", (row, refusal)
        assert passed_s * 1000 < limit_ms, (row, passed_s)


@then("no engine and no service ran anything")
def check_nothing_ran(context: Any) -> None:
    assert context.layout.service_runs() == []
    for lines in context.layout.engine_runs().values():
        assert not [line for line in lines if line["event"] == "start"], lines


@then("entry host {number:d} is alive")
def check_alive(context: Any, number: int) -> None:
    assert http(context.layout.entry_url(number, "/healthz")).status == 200
    assert context.site.programs[f"entry-{number}"].process.poll() is None


@when("a body of {size:d} bytes is sent to entry host {number:d}")
def send_large(context: Any, size: int, number: int) -> None:
    url = context.layout.entry_url(number, "/v1/completions")
    context.reply = http(url, b"x" * size, headers=headers_of("lab"))


@then("the refusal of the large body is {code:d}")
def check_large(context: Any, code: int) -> None:
    assert context.reply.json()["code"] == code, context.reply


@when("requests with bad deadlines and keys are sent to entry host {number:d}")
def send_bad_headers(context: Any, number: int) -> None:
    url = context.layout.entry_url(number, "/v1/completions")
    body = {"model": "dale-24", "prompt": "x"}
    context.answers = [http(url, body, headers=headers_of("lab", **bad)) for bad in BAD_HEADERS]


@then("each refusal of a bad header is {code:d}")
def check_bad_headers(context: Any, code: int) -> None:
    assert [reply.json()["code"] for reply in context.answers] == [code] * len(BAD_HEADERS)


@when("random bytes and random JSON are sent to entry host {number:d}")
def send_random(context: Any, number: int) -> None:
    address = (context.site.ip(ENTRY_NUMBER + number), ENTRY_PORT)
    url = context.layout.entry_url(number, "/v1/chat/completions")
    context.answers = []
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=20),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["model", "messages", "n", "stream"]), inner),
        max_leaves=8,
    )

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(junk=st.binary(min_size=1, max_size=300), value=values)
    def send(junk: bytes, value: object) -> None:
        context.answers.append(_send_raw(address, junk + b"\r\n\r\n"))
        reply = http(url, json.dumps(value).encode(), headers=headers_of("lab"))
        context.answers.append(reply.status)

    send()


@then("every answer is an error below 500 or a closed connection")
def check_random(context: Any) -> None:
    assert context.answers
    assert all(status == 0 or 400 <= status < 500 for status in context.answers), context.answers


def _send_raw(address: tuple[str, int], data: bytes) -> int:
    """Send bytes on a connection of their own; return the HTTP status, 0 if there was none."""
    with socket.create_connection(address, timeout=SOCKET_TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        try:
            answer = connection.recv(4096)
        except OSError:
            return 0
    words = answer.split(b" ", 2)
    return int(words[1]) if answer.startswith(b"HTTP/") else 0
