"""Steps for end-to-end requests through a small site of separate processes."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

from behave import given, then, when
from features.support.layout import LAYERS, MODEL, TOKENS, Layout, headers_of
from features.support.site import Reply, http, wait_until

from pimentodale.standin.reference_text import reference_tokens

PROMPT: Final = "Summarise the strain curve of sample 7."
REQUEST_ID: Final = "whole-path"


def chat_body(prompt: str, tokens: int, *, stream: bool) -> dict[str, Any]:
    """Return the body of a chat request whose answer has `tokens` tokens."""
    return {
        "model": MODEL,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"{prompt} [tokens={tokens}]"}],
    }


def chat_text(prompt: str, tokens: int) -> str:
    """Return the fault-free answer to `chat_body`."""
    return "".join(reference_tokens(f"user: {prompt} [tokens={tokens}]", LAYERS, tokens))


def streamed_text(reply: Reply) -> str:
    """Return the text of a streamed chat answer; assert that the stream ended properly."""
    assert reply.status == 200, reply
    assert reply.body.endswith(b"data: [DONE]\n\n"), reply.body[-300:]
    lines = [line[6:] for line in reply.body.split(b"\n") if line.startswith(b"data: {")]
    choices = [choice for line in lines for choice in json.loads(line)["choices"]]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


@given("a small site with three entry hosts")
def start_small_site(context: Any) -> None:
    context.layout = Layout(context.site)
    context.layout.start()


@when("a chat completion of {tokens:d} tokens is streamed through entry host {number:d}")
def stream_chat(context: Any, tokens: int, number: int) -> None:
    headers = headers_of("lab", **{"X-Request-Id": REQUEST_ID})
    url = context.layout.entry_url(number, "/v1/chat/completions")
    context.reply = http(url, chat_body(PROMPT, tokens, stream=True), headers=headers)


@then("the streamed text is the fault-free text of {tokens:d} tokens")
def check_streamed(context: Any, tokens: int) -> None:
    assert streamed_text(context.reply) == chat_text(PROMPT, tokens)


@then("the engines' journals show each layer run once for each of {tokens:d} tokens")
def check_layers(context: Any, tokens: int) -> None:
    def layer_runs() -> list[list[int]]:
        return [
            run
            for lines in context.layout.engine_runs().values()
            for line in lines
            if line["event"] == "end" and line["request_id"] == REQUEST_ID
            for run in line["layer_runs"]
        ]

    def have_all_ended() -> bool:
        return sum(last - first for first, last, _ in layer_runs()) >= LAYERS

    # Each engine writes its line once its link reports the end, after the client has its answer.
    wait_until(have_all_ended, "every engine has written the stream's end")
    runs = layer_runs()
    layer = 0
    for first, last, count in sorted(runs):
        assert first == layer, runs
        assert count == tokens, runs
        layer = last
    assert layer == LAYERS, runs


@then("the trace at entry host {number:d} has a span for each hop")
def check_trace(context: Any, number: int) -> None:
    url = context.layout.entry_url(number, f"/admin/trace?request_id={REQUEST_ID}")
    spans = http(url).json()["spans"]
    names = [span["name"] for span in spans]
    assert {"request", "route", "attempt"} <= set(names), names
    assert names.count("hop") == 2, names
    assert len({span["trace_id"] for span in spans}) == 1


@when("a non-streamed completion of {tokens:d} tokens is requested through entry host {number:d}")
def request_non_streamed(context: Any, tokens: int, number: int) -> None:
    body = {"model": MODEL, "prompt": f"{PROMPT} [tokens={tokens}]", "max_tokens": tokens}
    url = context.layout.entry_url(number, "/v1/completions")
    context.reply = http(url, body, headers=headers_of("desk"))


@then("the complete text is the fault-free text of {tokens:d} tokens, with usage")
def check_non_streamed(context: Any, tokens: int) -> None:
    answer = context.reply.json()
    expected = "".join(reference_tokens(f"{PROMPT} [tokens={tokens}]", LAYERS, tokens))
    assert answer["choices"][0]["text"] == expected, answer
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer["usage"]["completion_tokens"] == tokens


@when("an OpenAI client lists the models and requests {tokens:d} tokens non-streamed and streamed")
def use_openai(context: Any, tokens: int) -> None:
    from openai import OpenAI

    client = OpenAI(base_url=context.layout.entry_url(2, "/v1"), api_key=TOKENS["lab"])
    assert [model.id for model in client.models.list()] == [MODEL]
    messages: Any = chat_body(PROMPT, tokens, stream=False)["messages"]
    asked = {"model": MODEL, "messages": messages, "max_tokens": tokens}
    whole = client.chat.completions.create(**asked)
    chunks = client.chat.completions.create(**asked, stream=True)
    pieces = [chunk.choices[0].delta.content or "" for chunk in chunks]
    context.texts = [whole.choices[0].message.content, "".join(pieces)]


@then("both texts are the fault-free text of {tokens:d} tokens")
def check_openai(context: Any, tokens: int) -> None:
    assert context.texts == [chat_text(PROMPT, tokens)] * 2, context.texts


@when("{callers:d} callers stream {tokens:d} tokens each through all entry hosts")
def stream_many(context: Any, callers: int, tokens: int) -> None:
    def call(number: int) -> str:
        url = context.layout.entry_url(number % 3, "/v1/chat/completions")
        body = chat_body(f"Caller {number}.", tokens, stream=True)
        return streamed_text(http(url, body, headers=headers_of("bulk"), timeout_s=60))

    with ThreadPoolExecutor(callers) as pool:
        context.texts = list(pool.map(call, range(callers)))
    context.tokens = tokens


@then("each caller's text is the fault-free text of its own prompt")
def check_many(context: Any) -> None:
    for number, text in enumerate(context.texts):
        assert text == chat_text(f"Caller {number}.", context.tokens), (number, text)


@when("a reservation is sent twice under one key through entry hosts {first:d} and {second:d}")
def reserve_twice(context: Any, first: int, second: int) -> None:
    headers = headers_of("lab", **{"Idempotency-Key": "rig-7"})
    context.replies = [
        http(
            context.layout.entry_url(number, "/services/rigs/reservations"),
            {"rig": 7},
            headers=headers,
        )
        for number in (first, second)
    ]


@then("both answers are the same and the service ran it once")
def check_reservation(context: Any) -> None:
    assert [reply.status for reply in context.replies] == [200, 200], context.replies
    assert context.replies[0].body == context.replies[1].body
    runs = [run for run in context.layout.service_runs() if run["idempotency_key"] == "rig-7"]
    assert len(runs) == 1, runs


@when(
    "a completion of {tokens:d} tokens is sent under one key "
    "through entry hosts {first:d} and {second:d}"
)
def complete_twice(context: Any, tokens: int, first: int, second: int) -> None:
    headers = headers_of("lab", **{"Idempotency-Key": "certificate-1"})
    body = chat_body(PROMPT, tokens, stream=True)
    context.replies = [
        http(context.layout.entry_url(number, "/v1/chat/completions"), body, headers=headers)
        for number in (first, second)
    ]
    context.tokens = tokens


@then("both texts are the same, and one request ran on the engines")
def check_keyed(context: Any) -> None:
    texts = [streamed_text(reply) for reply in context.replies]
    assert texts == [chat_text(PROMPT, context.tokens)] * 2, texts
    ids = {
        line["request_id"]
        for lines in context.layout.engine_runs().values()
        for line in lines
        if line["event"] == "start"
    }
    assert len(ids) == 1, ids


@when("entry host {number:d} gets SIGTERM")
def stop_entry(context: Any, number: int) -> None:
    context.exit_code = context.site.programs[f"entry-{number}"].terminate()


@then("entry host {number:d} exits with code {code:d}")
def check_stopped(context: Any, number: int, code: int) -> None:
    assert context.exit_code == code, context.exit_code
