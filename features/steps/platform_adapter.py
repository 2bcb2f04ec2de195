"""Steps for the adapter to the users' platform."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then
from features.support.engine_fleet import replica
from features.support.site import http
from tornado.httputil import HTTPHeaders

from pimentodale.addresses import Address
from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.forwarding.messages import RefusalReason
from pimentodale.gateway.settings import GatewaySettings
from pimentodale.placement.messages import PathPart
from pimentodale.platform import header_codec
from pimentodale.platform.configuration import decode_configuration
from pimentodale.platform.engine_client import create_platform_engine_client
from pimentodale.platform.store import create_platform_store
from pimentodale.site.model import LayerRange, Repeatability
from pimentodale.yaml_files import parse_yaml

ROOT = Path(__file__).resolve().parent.parent.parent
SOURCE = ROOT / "src" / "pimentodale"

PLATFORM_WORDS = re.compile(
    r"Pimentodale-[A-Z]|At-Server|/api/|op/config|servers/|kv-|path_prefix=|api_keys|\btenants?\b"
    r"|traffic_split|non_idempotent|\bzones?\b|layer_mb=|read_x|\bborn\b|per_seq_ms|loads_at_once"
)
"""Headers, calls, keys and fields that only the adapter may use."""


@then(
    "no module outside the adapter and its stand-ins contains a header, path or key of the platform"
)
def check_platform_words(context: Any) -> None:
    found = []
    for path in sorted(SOURCE.rglob("*.py")):
        relative = path.relative_to(SOURCE)
        if relative.parts[0] == "platform" or relative.name.startswith("platform_"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_WORDS.search(line):
                found.append(f"{relative}:{number}: {line.strip()}")
    assert not found, "\n".join(found)


@given("the platform's record of a configuration")
def make_configuration_record(context: Any) -> None:
    engine = {
        "slots": 96,
        "layers": 80,
        "layer_mb": 1750.0,
        "kv_bytes": 1180000,
        "step_ms": 1.02,
        "per_seq_ms": 0.009,
        "context_per_k": 0.0123,
        "read_per_s": 164000.0,
        "loads_at_once": 6,
        "usual": {"prompt": 775, "answer": 220},
        "models": [{"name": "m", "load_s": 14.0}],
        "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
        "delays": [],
    }
    routes = [
        {"name": "r1", "host": "H.example", "path_prefix": "/a/", "kind": "streaming"}
        | {"timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2}
        | {"traffic_split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]}
        | {"resumable": True, "gap_target_ms": 250, "public": False, "sticky": True},
        {"name": "r2", "host": "h.example", "path_prefix": "/b/", "kind": "non_idempotent"}
        | {"service": "y", "public": True},
    ]
    services = [{"name": "x", "health_path": "/h", "max_conns": 9, "engine": engine}, {"name": "y"}]
    tenants = [{"name": "w1", "api_keys": ["k1", "k2"], "priority": 3}]
    limits = {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 4}
    document = {"version": 7, "routes": routes, "services": services, "tenants": tenants}
    context.decoded = decode_configuration(json.dumps(document | {"limits": limits}).encode())


@then("its routes, services, engine, workspaces and limits are decoded")
def check_configuration(context: Any) -> None:
    configuration = context.decoded.ok
    first, second = configuration.routes
    assert configuration.version == 7
    assert (first.host, first.repeatability) == ("h.example", Repeatability.STREAM)
    assert [(share.service, share.weight) for share in first.shares] == [("x", 90), ("y", 10)]
    assert first.is_resumable
    assert (second.repeatability, second.is_public) == (Repeatability.ONCE, True)
    assert second.timeout_ms == float("inf")
    engine = configuration.services["x"].engine
    assert engine is not None
    assert (engine.load_ms, engine.prefill_tokens_per_ms) == (14_000.0, 164.0)
    assert engine.kinds["a100"].prefill_pace == 3.2
    assert configuration.services["y"].engine is None
    assert configuration.workspaces["k2"].name == "w1"
    assert configuration.limits.idle_timeout_ms == 4


@given("a client's request with an API key, a deadline and custom headers")
def client_request(context: Any) -> None:
    headers = HTTPHeaders()
    for name, value in (
        ("Host", "h.example:80"),
        ("Authorization", "Bearer k1"),
        ("Pimentodale-Attempt-Id", "me"),
        ("Pimentodale-Deadline-Ms", "20000"),
        ("Pimentodale-Tenant", "forged"),
        ("Pimentodale-Token-Count", "800,160"),
        ("Pimentodale-Length-Hint", "90"),
        ("Pimentodale-Prompt-Prefix", "5C1e:800, 91bd:410,5c1e:800,:7,,e440:250"),
        ("Connection", "keep-alive"),
        ("X-Own", "1"),
        ("X-Own", "2"),
    ):
        headers.add(name, value)
    context.request = header_codec.decode_request("POST", "/a/b?c=d", headers)


@then(
    "the replica is sent the workspace, the remaining time, its id and the path instead of the "
    "client's values"
)
def check_request(context: Any) -> None:
    request = context.request
    assert (request.host, request.api_key, request.deadline_ms) == ("h.example", "k1", 20_000.0)
    assert (request.prompt_tokens, request.max_answer_tokens) == (800.0, 160.0)
    assert request.length_hint_tokens == 90.0
    assert request.prompt_parts == ("5c1e", "91bd")
    path = (
        PathPart("i-1", Address("10.0.0.1", 80), LayerRange(0, 20)),
        PathPart("i-2", Address("10.0.0.2", 81), LayerRange(20, 80)),
    )
    sent = header_codec.encode_request(request, "w1", 1_234.9, "i-1", path, "12")
    assert sent["Pimentodale-Tenant"] == "w1"
    assert sent["Pimentodale-Deadline-Ms"] == "1234"
    assert sent["Pimentodale-Expect-Replica"] == "i-1"
    assert sent["Pimentodale-Hop-Count"] == "10.0.0.1:80=0-20,10.0.0.2:81=20-80"
    assert sent["Last-Event-Id"] == "12"
    assert "Authorization" not in sent
    context.sent = sent


@then("the client's other headers are forwarded, and connection headers are not")
def check_forwarded(context: Any) -> None:
    assert context.sent["X-Own"] == "1,2"
    assert context.sent["Host"] == "h.example:80"
    assert context.sent["Pimentodale-Token-Count"] == "800,160"
    parts = "5C1e:800, 91bd:410,5c1e:800,:7,,e440:250"
    assert context.sent["Pimentodale-Prompt-Prefix"] == parts
    assert "Connection" not in context.sent
    public = header_codec.encode_request(context.request, None, None, "i-1", (), None)
    assert "Pimentodale-Tenant" not in public


@given('an answer {status:d} with the headers "{headers}"')
def decode_example_answer(context: Any, status: int, headers: str) -> None:
    fields = HTTPHeaders()
    for pair in headers.split(";"):
        name, _, value = pair.partition("=")
        fields.add(name, value)
    context.answer = header_codec.decode_answer(status, fields, "me")


@then('it is "{meaning}"')
def check_meaning(context: Any, meaning: str) -> None:
    found = context.answer
    meanings = {
        "success": found.is_success and found.refused is None,
        "not genuine": not found.is_success and not found.is_genuine and found.refused is None,
        "no room": found.refused is RefusalReason.NO_ROOM and found.faulty_address == "10.0.0.1:80",
        "wrong replica": found.refused is RefusalReason.WRONG_REPLICA,
        "own failure": found.is_genuine and not found.is_success and not found.claims_not_run,
        "false promise": found.claims_not_run and found.refused is None,
    }
    assert meanings[meaning], found


@given("the template of the gateway's settings filled with examples")
def fill_template(context: Any) -> None:
    values = {
        "node_name|json": '"front-1"',
        "zone|json": '"delft-a"',
        "region|json": '"nl-west"',
        "listen.front|json": '"10.1.0.40:8227"',
        "listen.ready|json": '"10.1.0.40:8220"',
        "listen.control|json": '"10.1.0.40:8229"',
        "seed_nodes|json": '["10.1.0.40:8229"]',
        "platform.address|json": '"10.200.1.7:8223"',
        "bounds.drain_ms": "2000",
        "heartbeat_ms": "1000",
        "bounds.grace_s": "8.5",
        "bounds.stall_ms": "2500",
        "bounds.budget_ratio": "0.2",
        "bounds.budget_slack": "196",
        "bounds.budget_window_s": "10",
        "limits.memory_mb": "200",
        "limits.max_fds": "512",
    }
    text = (ROOT / "deploy" / "gateway.yaml").read_text()
    context.filled = re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found[1]], text)


@then("the settings are read, unknown fields are ignored and a missing one is named")
def check_settings(context: Any) -> None:
    settings = parse_yaml(context.filled + "\nnew_field: 1\n", GatewaySettings, "settings").ok
    assert settings.failure_domain == "delft-a"
    assert settings.stop_timeout_s == 8.5
    assert settings.replica_heartbeat_ms == 1_000.0
    assert settings.memory_mb == 200.0
    assert settings.max_fds == 512
    lines = [line for line in context.filled.splitlines() if not line.startswith("store:")]
    missing = parse_yaml("\n".join(lines), GatewaySettings, "settings")
    assert missing.is_error()
    assert "store" in str(missing.error)


@given("a stand-in of the platform's store")
def start_store(context: Any) -> None:
    site = context.site
    context.address = Address(site.ip(2), 9000)
    part = {"kind": "platform_store", "listen": f"{site.ip(2)}:9000"}
    path = site.write("store.yaml", {"parts": [part | {"admin_listen": f"{site.ip(2)}:9001"}]})
    site.start("store", "pimentodale-standin", str(path))
    site.wait_ready(f"http://{site.ip(2)}:9000/healthz")
    context.admin = f"http://{site.ip(2)}:9001"
    context.store = create_platform_store(context.address)


@then("keys are written conditionally, read back and removed, and conflicts return the current key")
def check_transactions(context: Any) -> None:
    async def run() -> None:
        store = context.store
        first = (await store.txn([Compare("k/a", 0)], [Put("k/a", b"\x00one")])).ok
        assert first.succeeded
        again = (await store.txn([Compare("k/a", 0)], [Put("k/a", b"two")])).ok
        assert not again.succeeded
        assert again.items[0].value == b"\x00one"
        assert again.items[0].mod_revision == first.revision
        await store.txn([Compare("k/a", first.revision)], [Put("k/b", b"b"), Delete("k/a")])
        remaining = (await store.read("k/", "k0")).ok
        assert [item.key for item in remaining.items] == ["k/b"]
        assert (await store.read("k/a")).ok.items == []

    asyncio.run(run())


@then("a watch reports each change, and a discarded history as a fault")
def check_watch(context: Any) -> None:
    async def run() -> None:
        store = context.store
        start = (await store.read("", "\0")).ok.revision
        await store.txn([], [Put("w/1", b"1")])
        await store.txn([], [Delete("w/1"), Put("w/2", b"2")])
        puts: list[str] = []
        deletes: list[str] = []
        async for batch in store.watch("w/", start + 1, 3_000.0):
            puts += [item.key for item in batch.ok.puts]
            deletes += batch.ok.deletes
            if "w/2" in puts:
                break
        assert deletes == ["w/1"]
        assert puts == ["w/1", "w/2"]
        await asyncio.to_thread(http, f"{context.admin}/admin/forget", {})
        faults = [
            batch async for batch in store.watch("w/", start + 1, 3_000.0) if batch.is_error()
        ]
        assert len(faults) == 1
        assert "410" in faults[0].error.message

    asyncio.run(run())


@then("the keys of an expired lease are removed")
def check_lease(context: Any) -> None:
    async def run() -> None:
        store = context.store
        lease = (await store.grant_lease(400.0)).ok
        await store.txn([], [Put("l/a", b"1", lease)])
        assert (await store.keep_lease(lease)).ok > 0
        assert (await store.read("l/a")).ok.items
        await asyncio.sleep(0.7)
        assert (await store.read("l/a")).ok.items == []
        assert (await store.keep_lease(lease)).ok <= 0

    asyncio.run(run())


@then("a store that is down causes faults that say whether a write may have been applied")
def check_down(context: Any) -> None:
    async def run() -> None:
        down = {"down": True, "down_mode": "reset"}
        await asyncio.to_thread(http, f"{context.admin}/admin/faults", down)
        written = await context.store.txn([], [Put("d", b"1")])
        assert written.is_error()
        assert written.error.may_have_applied
        down["down_mode"] = "refuse"
        await asyncio.to_thread(http, f"{context.admin}/admin/faults", down)
        written = await context.store.txn([], [Put("d", b"1")])
        assert written.is_error()
        assert not written.error.may_have_applied

    asyncio.run(run())


@given('a replica that answers "{answer}" to a request without an attempt id')
def make_answering(context: Any, answer: str) -> None:
    context.replica_answer = answer


@then('a probe finds that it "{finding}"')
def check_probe(context: Any, finding: str) -> None:
    status, _, rest = context.replica_answer.partition(" ")
    body = b'{"born": 7}' if rest else b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if status != "none":
            head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
        writer.close()

    async def probe() -> str:
        server = await asyncio.start_server(serve, context.site.ip(3), 9000)
        async with server:
            record = replica("i-1", "a", "", None)
            record = replace(record, address=Address(context.site.ip(3), 9000))
            found = await create_platform_engine_client().probe(record)
        if found.is_ok():
            return f"lives since {found.ok}" if found.ok else "lives"
        return "is another replica" if "another" in found.error else "does not answer"

    assert asyncio.run(probe()) == finding
