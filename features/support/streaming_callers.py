"""Callers that stream completions through entry hosts and note when each token came."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from features.support.layout import MODEL, headers_of
from pimentodale.addresses import parse_address
from pimentodale.clients.http_call import CallRequest, open_call
from pimentodale.clock import create_clock

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_MS = 40_000.0


@dataclass(slots=True)
class CallerResult:
    """What one caller got."""

    prompt: str
    tokens: list[str] = field(default_factory=list)
    times_ms: list[float] = field(default_factory=list)
    finish_reason: str = ""
    done: bool = False
    refusal: dict[str, Any] | None = None


async def stream_completion(
    entry: str,
    prompt: str,
    request_id: str,
    *,
    workspace: str = "lab",
    on_token: Callable[[CallerResult], None] | None = None,
) -> CallerResult:
    """Stream a completion.

    Args:
        entry: `IP:PORT` of the entry host.
        prompt: The prompt text.
        request_id: The request's name.
        workspace: The caller's workspace.
        on_token: Called after each token.

    Returns:
        What came until the end.
    """
    result = CallerResult(prompt)
    body = {"model": MODEL, "stream": True, "prompt": prompt, "max_tokens": 1000}
    headers = headers_of(workspace, **{"X-Request-Id": request_id})
    request = CallRequest(
        method="POST", path="/v1/completions", headers=headers, body=json.dumps(body).encode()
    )
    opened = await open_call(parse_address(entry), request, _TIMEOUT_MS)
    assert opened.is_ok(), opened.error
    clock = create_clock()
    rest = b""
    async for chunk in opened.ok.chunks(_TIMEOUT_MS):
        assert chunk.is_ok(), chunk.error
        *lines, rest = (rest + chunk.ok).split(b"\n")
        for line in lines:
            before = len(result.tokens)
            _take_line(result, line)
            if len(result.tokens) > before:
                result.times_ms.append(clock.now_ms())
                if on_token is not None:
                    on_token(result)
    opened.ok.close()
    if opened.ok.status != 200:
        result.refusal = json.loads(rest)
    return result


def _take_line(result: CallerResult, line: bytes) -> None:
    """Take one line of an event stream."""
    if line == b"data: [DONE]":
        result.done = True
        return
    if not line.startswith(b"data: "):
        return
    event = json.loads(line.removeprefix(b"data: "))
    if "error" in event:
        result.refusal = event["error"]
        return
    choice = event["choices"][0]
    if choice["finish_reason"] is not None:
        result.finish_reason = choice["finish_reason"]
    elif choice["text"]:
        result.tokens.append(choice["text"])
