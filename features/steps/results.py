"""Steps for the table of result codes."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Final

from behave import then, when

from pimentodale.results import ResultCode, http_status_of

TABLE: Final = Path(__file__).resolve().parents[2] / "docs/reference/result-codes.md"


@when("the reference table of result codes is read")
def read_table(context: Any) -> None:
    context.rows = re.findall(r"^\| (\d+) \| (\w+) \| (\d+) \| .+ \|$", TABLE.read_text(), re.M)


@then("it lists each code of the module once, with its name and HTTP status")
def compare_table(context: Any) -> None:
    expected = [
        (str(int(code)), code.name.lower(), str(http_status_of(code))) for code in ResultCode
    ]
    assert sorted(context.rows) == sorted(expected), set(expected) ^ set(context.rows)
