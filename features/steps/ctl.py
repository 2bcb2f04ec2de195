"""Steps for the operators' commands."""

from __future__ import annotations

import hashlib
import re
from pathlib import Path
from typing import Any, Final

from behave import then, when

from pimentodale.ctl.exit_codes import ExitCode

CTL_REFERENCE: Final = Path(__file__).resolve().parents[2] / "docs/reference/ctl.md"


def run_ctl(context: Any, name: str, arguments: list[str]) -> tuple[int, str]:
    program = context.site.start(name, "pimentodale-ctl", *arguments)
    code = program.process.wait(30)
    return code, program.log.read_text()


@when("the reference table of exit codes is read")
def read_exit_codes(context: Any) -> None:
    context.rows = re.findall(r"^\| (\d+) \| (\w+) \| .+ \|$", CTL_REFERENCE.read_text(), re.M)


@then("it lists each exit code once, with its name")
def check_exit_codes(context: Any) -> None:
    assert context.rows == [(str(int(code)), code.name.lower()) for code in ExitCode]


@when("a token is asked for twice")
def ask_tokens(context: Any) -> None:
    context.outputs = [run_ctl(context, f"token-{number}", ["token"]) for number in range(2)]


@then("each digest is that of its token and the tokens differ")
def check_tokens(context: Any) -> None:
    tokens = set()
    for code, output in context.outputs:
        assert code == 0, output
        match = re.fullmatch(r"token: (\S{40,})\nsha256: ([0-9a-f]{64})\n", output)
        assert match is not None, output
        assert hashlib.sha256(match[1].encode()).hexdigest() == match[2]
        tokens.add(match[1])
    assert len(tokens) == 2


@when('an operator runs "{arguments}"')
def run_arguments(context: Any, arguments: str) -> None:
    context.ended = run_ctl(context, "ctl", arguments.split())


@then('the operator\'s command ends with code {code:d} and says "{text}"')
def check_ended(context: Any, code: int, text: str) -> None:
    assert context.ended[0] == code, context.ended
    assert text in context.ended[1], context.ended
