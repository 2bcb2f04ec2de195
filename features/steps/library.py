"""Steps for the examples of the library reference."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

from behave import then, when

PAGE: Final = Path(__file__).resolve().parents[2] / "docs/reference/library.md"


@when("the examples of the library reference are run one by one")
def run_examples(context: Any) -> None:
    context.results = []
    for number, code in enumerate(re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.S)):
        path = context.site.folder / f"example-{number}.py"
        path.write_text(code)
        command = [sys.executable, str(path)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        context.results.append(done)


@then("each of the {count:d} examples ends without a fault")
def check_examples(context: Any, count: int) -> None:
    assert len(context.results) == count, len(context.results)
    for done in context.results:
        assert done.returncode == 0, done.stderr
