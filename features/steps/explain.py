"""Steps for `pimentodale-ctl explain`."""

from __future__ import annotations

from typing import Any, Final

from behave import then, when
from features.steps.whole_path import REQUEST_ID
from features.support.layout import headers_of
from features.support.site import http

REFUSED_ID: Final = "explain-refused"


def explain(context: Any, request_id: str) -> tuple[int, str]:
    """Run the program against all entry hosts; return its exit code and output."""
    entries = [
        word
        for number in range(context.layout.entries)
        for word in ("--entry", context.layout.entry_address(number))
    ]
    program = context.site.start(
        f"explain-{request_id}", "pimentodale-ctl", "explain", request_id, *entries
    )
    return program.process.wait(15), program.log.read_text()


@when("a request for an unknown model is sent through entry host {number:d}")
def send_refused(context: Any, number: int) -> None:
    url = context.layout.entry_url(number, "/v1/completions")
    headers = headers_of("lab", **{"X-Request-Id": REFUSED_ID})
    assert http(url, {"model": "other", "prompt": "x"}, headers=headers).status == 404


@then("ctl explain shows the route, the attempt and each hop of the first")
def check_served(context: Any) -> None:
    code, output = explain(context, REQUEST_ID)
    assert code == 0, output
    for part in ("request at entry-0", "route (", "attempt (", "end=whole", "tokens=12"):
        assert part in output, output
    assert output.count("hop (") == 2, output


@then("ctl explain shows the refusal of the second and its reason")
def check_refused(context: Any) -> None:
    code, output = explain(context, REFUSED_ID)
    assert code == 0, output
    assert "refused=unknown_model" in output, output
    assert "GET /v1/models lists them" in output, output


@then("ctl explain of an unknown request exits with {expected:d}")
def check_unknown(context: Any, expected: int) -> None:
    code, output = explain(context, "never-sent")
    assert code == expected, (code, output)
