"""Steps for settings files."""

from __future__ import annotations

from typing import Any

from behave import given, then, when


@given('a settings file "{name}" that reads "{text}"')
def write_settings(context: Any, name: str, text: str) -> None:
    context.path = context.site.folder / name
    context.path.write_text(text)


@when('"{program}" is run with it')
def run_program(context: Any, program: str) -> None:
    running = context.site.start("program", program, str(context.path))
    context.exit_code = running.process.wait(10)
    context.output = running.log.read_text()


@then("it exits with code {code:d}")
def check_exit(context: Any, code: int) -> None:
    assert context.exit_code == code, (context.exit_code, context.output)


@then('its output names "{place}" and "{problem}"')
def check_output(context: Any, place: str, problem: str) -> None:
    assert place in context.output, context.output
    assert problem in context.output, context.output
