"""Steps for the check of a gateway's configuration."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import re
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

import cappa
from behave import given, then, when
from features.steps.ctl import run_ctl
from hypothesis import given as property_given
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import ManualClock
from pimentodale.ctl.check import GatewayCheckCommand, run_gateway_check
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.ctl.main import CtlCommand
from pimentodale.mirror.mirror import create_mirror
from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
from pimentodale.site.view import SiteRecords, create_site_view

SECRET: Final = "sk-secret-"
ABSENT: Final = object()
BROKEN: Final = "no JSON value"

SOUND: Final[dict[str, Any]] = {
    "version": 7,
    "routes": [
        {"name": "chat", "host": "api.example", "path_prefix": "/chat/", "kind": "streaming"}
        | {"timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2}
        | {"resumable": True, "gap_target_ms": 250, "sticky": True}
        | {"traffic_split": [{"service": "model", "weight": 9}, {"service": "plain", "weight": 1}]},
        {"name": "files", "host": "api.example", "path_prefix": "/files/", "service": "plain"}
        | {"timeout_ms": 9000, "target_latency_ms": 1000, "public": True},
    ],
    "services": [
        {"name": "model", "health_path": "/h", "max_conns": 9}
        | {"engine": {"layers": 4, "layer_mb": 900, "kinds": [{"name": "a", "mb": 8000}]}},
        {"name": "plain"},
    ],
    "limits": {"max_body_bytes": 4000000, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "w0", "api_keys": [SECRET + "0"]},
        {"name": "w1", "api_keys": [SECRET + "1"], "priority": 3},
    ],
}


def apply_edit(document: dict[str, Any], path: str, value: Any) -> None:
    """Replace the value at a JSON path, or remove it."""
    steps = [int(a) if a else b for a, b in re.findall(r"\[(\d+)\]|\.(\w+)", path)]
    place: Any = document
    for step in steps[:-1]:
        place = place[step] if isinstance(step, int) else place.setdefault(step, {})
    if value is ABSENT:
        del place[steps[-1]]
    else:
        place[steps[-1]] = value


@given("a sound configuration")
def take_sound(context: Any) -> None:
    context.record_text = json.dumps(SOUND, indent=1)


@given("a sound configuration in which {path:S} is {value}")
def take_edited(context: Any, path: str, value: str) -> None:
    document = copy.deepcopy(SOUND)
    if value == "absent":
        edited: Any = ABSENT
    else:
        edited = BROKEN if value == "@" else json.loads(value)
    apply_edit(document, path, edited)
    context.record_text = json.dumps(document, indent=1).replace(f'"{BROKEN}"', "@")


@given("a sound configuration in which a field that hosts don't read nests {depth:d} deep")
def take_nested(context: Any, depth: int) -> None:
    context.record_text = json.dumps(SOUND)[:-1] + f', "note": {"[" * depth}{"]" * depth}}}'


def run_command(arguments: list[str]) -> tuple[int, str]:
    """Run the command in this process, as the program parses its arguments."""
    command = cappa.parse(CtlCommand, argv=arguments).command
    assert isinstance(command, GatewayCheckCommand)
    with contextlib.redirect_stdout(io.StringIO()) as out:
        code = run_gateway_check(command)
    return int(code), out.getvalue()


def check(context: Any, options: list[str]) -> None:
    """Run the command twice, for its text and for its document."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "new.json"
        file.write_text(context.record_text)
        before = Path(folder) / "before.json"
        before.write_text(json.dumps(SOUND))
        options = [str(before) if option == "BEFORE" else option for option in options]
        context.code, context.output = run_command(["check", str(file), *options])
        code, output = run_command(["check", str(file), "--json", *options])
    assert code == context.code, (code, output, context.code, context.output)
    context.document = json.loads(output)
    for text in (context.output, output):
        assert SECRET not in text, text


@when('the operator checks it with "{options}"')
@when('the operator checks it with ""')
def check_alone(context: Any, options: str = "") -> None:
    check(context, options.split())


@when("the operator compares it with the version before")
def compare(context: Any) -> None:
    document = json.loads(context.record_text)
    document["version"] += document["version"] == SOUND["version"]
    context.record_text = json.dumps(document, indent=1)
    check(context, ["--against", "BEFORE"])


@then("the check ends with code {code:d} and reports nothing")
def check_nothing(context: Any, code: int) -> None:
    assert (context.code, context.document["findings"]) == (code, []), context.output
    assert "errors: 0, warnings: 0" in context.output


@then(
    "the check ends with code {code:d} and reports {article:w}"
    ' "{severity}" of section "{section}" that says "{text}"'
)
def check_finding(
    context: Any, code: int, article: str, severity: str, section: str, text: str
) -> None:
    assert context.code == code, context.output
    assert context.document["accepted"] == (code == 0)
    found = [one for one in context.document["findings"] if text in one["message"]]
    assert len(found) == 1, context.output
    context.finding = found[0]
    assert (found[0]["severity"], found[0]["section"]) == (severity, section), found
    line = [line for line in context.output.splitlines() if text in line]
    assert len(line) == 1, context.output
    assert f"new.json:{found[0]['line']}: {severity}" in line[0], line


@then('the finding names the line that holds "{marker}"')
def check_line(context: Any, marker: str) -> None:
    line = context.record_text.splitlines()[context.finding["line"] - 1]
    assert marker in line, (context.finding, line)


@then(
    'the difference of "{subject}" says "{text}" and affects'
    ' routes "{routes}" and workspaces "{workspaces}"'
)
def check_difference(context: Any, subject: str, text: str, routes: str, workspaces: str) -> None:
    assert context.code == 0, context.output
    found = [one for one in context.document["differences"] if one["subject"] == subject]
    assert len(found) == 1, context.output
    assert text in found[0]["change"], found
    assert found[0]["routes"] == routes.split(), found
    assert found[0]["workspaces"] == ([] if workspaces == "none" else workspaces.split()), found
    assert f"difference: {subject}: " in context.output


PATHS: Final = (
    *("$.version", "$.routes", "$.services", "$.limits", "$.tenants"),
    *("$.routes[0].host", "$.routes[0].path_prefix", "$.routes[0].timeout_ms"),
    *("$.routes[0].max_attempts", "$.routes[0].traffic_split", "$.routes[1].service"),
    *("$.routes[0].traffic_split[0].weight", "$.routes[1].kind", "$.routes[1].public"),
    *("$.services[0].engine", "$.services[0].engine.kinds", "$.services[0].engine.layers"),
    *("$.services[0].engine.stride", "$.services[1].name", "$.services[0].max_conns"),
    *("$.limits.max_body_bytes", "$.limits.idle_timeout_ms", "$.tenants[0].api_keys"),
    *("$.tenants[1].priority", "$.tenants[1].name", "$.note"),
)
VALUES: Final = st.one_of(
    st.just(ABSENT),
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(-(10**400), 10**400),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=9),
    st.sampled_from([[], {}, [[]], ["odd"], {"odd": "odd"}]),
)
KEYS: Final = st.sampled_from(
    [[SECRET + "2"], [SECRET + "1"], [[SECRET + "2"]], SECRET + "2", {SECRET + "2": SECRET + "3"}]
)
EDITS: Final = st.one_of(
    st.tuples(st.sampled_from(PATHS), VALUES),
    # Secrets are drawn only where keys stand, also in a wrong form: elsewhere a text is no key.
    st.tuples(st.sampled_from(["$.tenants[0].api_keys", "$.tenants[1].api_keys"]), KEYS),
)


@st.composite
def drawn_configurations(draw: st.DrawFn) -> bytes:
    """Draw a configuration with up to three odd values, perhaps with an odd byte or cut short."""
    document = copy.deepcopy(SOUND)
    document["version"] = draw(st.sampled_from([8, 9, 7, 6]))
    for path, value in draw(st.lists(EDITS, max_size=3)):
        # An earlier edit may have removed what this one would change.
        with contextlib.suppress(KeyError, IndexError, TypeError, AttributeError):
            apply_edit(document, path, value)
    text = json.dumps(document, indent=draw(st.sampled_from([None, 1]))).encode()
    damage = draw(st.sampled_from(["none", "none", "none", "byte", "cut"]))
    at = draw(st.integers(0, len(text) - 1))
    if damage == "cut":
        return text[:at]
    if damage == "byte":
        return text[:at] + draw(st.binary(min_size=1, max_size=1)) + text[at + 1 :]
    return text


def takes_last_into_force(values: list[bytes]) -> bool:
    """Write configurations to a host's copy of the store; return whether the last is in force."""
    clock = ManualClock(1_000.0)
    mirror = create_mirror(clock)
    records = SiteRecords(CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica)
    view = create_site_view(records, mirror, clock)
    is_taken = False
    for revision, value in enumerate(values, 1):
        before = view.configuration
        mirror.apply_changes(revision, [KeyValue(CONFIGURATION_KEY, value, 1, revision)], [])
        is_taken = view.configuration is not before
    return is_taken


@then("for drawn configurations a host takes into force just those without an error")
def check_agreement(context: Any) -> None:
    known = json.dumps(SOUND).encode()
    verdicts: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder:
        file, before = Path(folder) / "new.json", Path(folder) / "before.json"
        before.write_bytes(known)

        def run(against: Path | None) -> tuple[ExitCode, dict[str, Any]]:
            results = []
            for as_json in (False, True):
                with contextlib.redirect_stdout(io.StringIO()) as out:
                    command = GatewayCheckCommand(file, against, memory_mb=200, as_json=as_json)
                    results.append((run_gateway_check(command), out.getvalue()))
                assert SECRET not in results[-1][1], results[-1]
            assert results[0][0] == results[1][0]
            return results[1][0], json.loads(results[1][1])

        @property_settings(max_examples=400, deadline=None, derandomize=True, database=None)
        @property_given(drawn_configurations())
        def agrees(value: bytes) -> None:
            file.write_bytes(value)
            code, document = run(None)
            assert (code is ExitCode.OK) == takes_last_into_force([value]), document
            code_against, document = run(before)
            is_new = takes_last_into_force([known, value])
            assert (code_against is ExitCode.OK) == is_new, document
            verdicts["error" if code else "warning" if document["findings"] else "clean"] += 1

        agrees()
    # Guards against a strategy that draws only one kind of configuration.
    assert min(verdicts[kind] for kind in ("error", "warning", "clean")) >= 10, verdicts


@when("a configuration of {count:d} routes is checked against the version before")
def check_large(context: Any, count: int) -> None:
    document = copy.deepcopy(SOUND)
    route = document["routes"][0]
    services = [document["services"][0] | {"name": f"model-{n}"} for n in range(count // 4)]
    document["services"] += services
    for number in range(count - len(document["routes"])):
        service = services[number % len(services)]["name"]
        split = [{"service": service, "weight": 9}, {"service": "model", "weight": 1}]
        place = {"host": f"h{number % 40}.example", "path_prefix": f"/{number}/"}
        document["routes"].append(route | place | {"traffic_split": split})
    before = json.dumps(document, indent=1)
    document["version"] += 1
    for changed in document["routes"] + document["services"]:
        changed["timeout_ms" if "host" in changed else "max_conns"] = 7
    with tempfile.TemporaryDirectory() as folder:
        file, old = Path(folder) / "new.json", Path(folder) / "old.json"
        file.write_text(json.dumps(document, indent=1))
        old.write_text(before)
        begun = time.monotonic()
        code, output = run_ctl(context, "large", ["check", str(file), "--against", str(old)])
        context.took_s = time.monotonic() - begun
    assert code == 0, output
    # Every route is changed, has a timeout under its target and is served by a changed service.
    assert output.count("over timeout_ms 7 ") >= count, output[-500:]
    assert f"differences: {count + len(services) + 2};" in output, output[-500:]


@then("the check has taken under {bound_s:d} s")
def check_time(context: Any, bound_s: int) -> None:
    print(f"took {context.took_s:.2f} s")
    assert context.took_s < bound_s, context.took_s
