"""Steps for odd entries of another writer."""

from __future__ import annotations

import json
import zlib
from typing import Any

from behave import given, then, when
from features.support.mirror_site import RECORDS

from pimentodale.clients import engine_orders, etcd_gateway, etcd_messages
from pimentodale.clients.host_list import parse_host_list
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import ManualClock
from pimentodale.configuration.snapshots import decode_snapshot
from pimentodale.ledger.records import decode_record
from pimentodale.mirror.mirror import create_mirror
from pimentodale.peers.message_stream import BadMessageError, unpack
from pimentodale.platform import store as platform_store
from pimentodale.platform.configuration import decode_configuration
from pimentodale.quarantine.crash_record import unpack_crashes
from pimentodale.quarantine.entries import unpack_entry
from pimentodale.site.view import create_site_view

DEPTH = 100_000
DEEP_LISTS = b"[" * DEPTH + b"]" * DEPTH
DEEP_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
DEEP_MSGPACK = b"\x91" * DEPTH + b"\xc0"
DIGITS = "9" * 400


def record(**changes: object) -> bytes:
    value = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "born": 5}
    return json.dumps(value | {"slots": 4} | changes).encode()


def with_field(name: str, octets: bytes) -> bytes:
    """Return a record with a field of raw JSON."""
    return record()[:-1] + b', "' + name.encode() + b'": ' + octets + b"}"


RECORD_VALUES = {
    "nested 100,000 lists deep": with_field("extra", DEEP_LISTS),
    "nested 100,000 objects deep": with_field("extra", DEEP_OBJECTS),
    "with a port of 70000": record(address="10.0.0.1:70000"),
    "with a port of 400 digits": record(address=f"10.0.0.1:{DIGITS}"),
    "with slots of 400 digits": with_field("slots", DIGITS.encode()),
    "with slots of 1e400": with_field("slots", b"1e400"),
    "with slots of -1": record(slots=-1),
    "with a start of 400 digits": with_field("born", DIGITS.encode()),
    "with a start before all time": record(born=-5),
    "with layers from -9": record(layers={"from": -9, "to": 4}),
    "with layers to 10^14": record(layers={"from": 0, "to": 10**14}),
    "of bytes that are no text": b"\xff\xfe\x00",
}


@given("a host that follows the records of two replicas")
def follow_two(context: Any) -> None:
    context.mirror = create_mirror(ManualClock(100_000.0))
    context.view = create_site_view(RECORDS, context.mirror, context.mirror.clock)
    items = [KeyValue(RECORDS.replica_prefix + name, record(), 1, 1) for name in ("r1", "r2")]
    context.mirror.apply_snapshot(1, items)


@when("another writer adds a record {odd}")
def add_record(context: Any, odd: str) -> None:
    item = KeyValue(RECORDS.replica_prefix + "odd", RECORD_VALUES[odd], 2, 2)
    context.mirror.apply_changes(2, [item], [])


@when("one of the replicas announces that it leaves")
def announce(context: Any) -> None:
    item = KeyValue(RECORDS.replica_prefix + "r1", record(state="draining"), 1, 3)
    context.mirror.apply_changes(3, [item], [])


@then("the host knows just the two replicas, and that the one leaves")
def check_known(context: Any) -> None:
    assert set(context.view.replicas) == {"r1", "r2"}, set(context.view.replicas)
    assert context.view.replicas["r1"].is_draining
    assert [replica.replica_id for replica in context.view.replicas_of("s")] == ["r2"]


def engine(target: str, **labels: str) -> dict[str, object]:
    known = {"kind": "engine", "replica": target, "failure_domain": "a", "model": "m"}
    known |= {"first_layer": "0", "last_layer": "7", "tokens_per_s": "100", "slots": "4"}
    return {"targets": [target], "labels": known | labels}


LIST_ENTRIES: dict[str, object] = {
    "nested 100,000 lists deep": DEEP_LISTS,
    "nested 100,000 objects deep": DEEP_OBJECTS,
    "with a port of 70000": engine("10.0.0.9:70000"),
    "with a port of 400 digits": engine(f"10.0.0.9:{DIGITS}"),
    "with slots of 400 digits": engine("10.0.0.9:80", slots=DIGITS),
    "with slots of -1": engine("10.0.0.9:80", slots="-1"),
    "with a rate that is no number": engine("10.0.0.9:80", tokens_per_s="nan"),
    "with a rate without end": engine("10.0.0.9:80", tokens_per_s="1e999"),
    "with layers from -9": engine("10.0.0.9:80", first_layer="-9"),
    "with layers to 10^14": engine("10.0.0.9:80", last_layer=str(10**14)),
    "with targets that are no list": {"targets": "10.0.0.9:80"},
    "that is a number": 7,
}


@given("a host list of two engines")
def list_two(context: Any) -> None:
    engines = [engine("10.0.0.1:80", slots='"[{\\'), engine("10.0.0.2:80")]
    engines[0] = engine("10.0.0.1:80", model='a "name" with [{ in it \\')
    context.entries = [json.dumps(entry).encode() for entry in engines]


@when("another writer adds an entry {odd}")
def add_entry(context: Any, odd: str) -> None:
    entry = LIST_ENTRIES[odd]
    octets = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    context.entries.insert(1, octets)


@then("the two engines are read, and the entry is named as one that can't be used")
def check_list(context: Any) -> None:
    found = parse_host_list(b"[" + b", ".join(context.entries) + b"]").ok
    assert [str(target.address) for target in found.engines] == ["10.0.0.1:80", "10.0.0.2:80"]
    assert len(found.rejected) == 1, found.rejected
    assert len(found.rejected[0]) < 500


def reply(octets: bytes) -> CallReply:
    return CallReply(200, {}, octets)


def is_message_refused(octets: bytes) -> bool:
    try:
        unpack(octets)
    except BadMessageError:
        return True
    return False


READERS: dict[str, Any] = {
    "a configuration of the platform": lambda: decode_configuration(
        b'{"version": 1, "x": ' + DEEP_LISTS + b"}"
    ).is_error(),
    "an answer of the platform's store": lambda: platform_store._parse(
        reply(b'{"items": [], "at": 1, "x": ' + DEEP_LISTS + b"}"), platform_store._Page
    ).is_error(),
    "a message between hosts": lambda: is_message_refused(DEEP_MSGPACK),
    "a stored crash entry": lambda: unpack_crashes(DEEP_MSGPACK) is None,
    "a stored quarantine entry": lambda: unpack_entry(DEEP_MSGPACK) is None,
    "a snapshot of the configuration": lambda: decode_snapshot(
        zlib.compress(DEEP_MSGPACK)
    ).is_error(),
    "a claim of the ledger": lambda: decode_record(DEEP_MSGPACK).is_error(),
    "an answer of the key-value service": lambda: etcd_gateway._decode(
        reply(b'{"x": ' + DEEP_LISTS + b"}"), etcd_messages.RangeResponse, False
    ).is_error(),
    "an engine's state": lambda: engine_orders._read_report(
        reply(b'{"x": ' + DEEP_LISTS + b"}")
    ).is_error(),
}


@when("{what} is read from bytes nested 100,000 lists deep")
def read_deep(context: Any, what: str) -> None:
    context.is_refused = READERS[what]()


@then("it is refused, and nothing is raised")
def check_refused(context: Any) -> None:
    assert context.is_refused
