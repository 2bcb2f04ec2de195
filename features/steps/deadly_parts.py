"""Steps for a part of a prompt that crashes replicas."""

from __future__ import annotations

import asyncio
import http.client
import threading
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.steps.crashing_requests import SentRequest
from features.support.engine_fleet import replica
from features.support.gateway_site import GATEWAYS
from features.support.memory_store import MemoryState, MemoryStore
from features.support.replica_view import create_replica_view

from pimentodale.background import create_background_tasks
from pimentodale.clock import ManualClock
from pimentodale.forwarding.crash_detector import SURVIVAL_MS, create_crash_detector
from pimentodale.quarantine.crash_record import CrashEntry, create_crash_record
from pimentodale.quarantine.prompt_parts import part_keys
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.site.replica_health import create_replica_health

if TYPE_CHECKING:
    from collections.abc import Sequence

SOUND_CALLERS = 4
"""Callers of sound requests at each gateway."""

FIRST_PART = "5e1f"
"""Part that all requests share."""


def send_with(context: Any, gateway: str, parts: str) -> int:
    """Send a request of its own with the given parts; returns its status, 0 if it broke off."""
    site = context.gateways
    with context.number_lock:
        headers = site.headers()
        context.number += 1
        number = context.number
        if "dead" in parts:
            context.deadly_attempts.add(headers["Pimentodale-Attempt-Id"])
    headers["Pimentodale-Prompt-Prefix"] = f"{parts},own{number}:50"
    try:
        body = f"body {number}".encode()
        return int(site.request(gateway, "/lm/x", headers=headers, body=body).status)
    except (OSError, ValueError, http.client.HTTPException):
        return 0


CONTACT_S = 3.0
COUNTED_CRASHES = 5
WRITTEN_EVENTS = 12


@when(
    "{count:d} requests with a part that is deadly after {events:d} events come {gap_s:g} s apart,"
    " beside sound ones with the same first part"
)
def send_deadly_late(context: Any, count: int, events: int, gap_s: float) -> None:
    prepare(context)
    context.deadly_part = f"dead{events}"
    context.deadly = send_beside(context, count, gap_s, [])


@then(
    "at most {most:d} requests with it reached replicas later than 3 s after the fifth crash, and"
    " the last {last:d} were refused"
)
def check_deadly_late(context: Any, most: int, last: int) -> None:
    crashes = sorted(entry["at_ms"] for entry in context.gateways.journal("crash"))
    begun = context.gateways.journal("begin")
    late: set[str] = set()
    if len(crashes) >= COUNTED_CRASHES:
        bound_ms = crashes[COUNTED_CRASHES - 1] + CONTACT_S * 1_000.0
        late = {
            entry["attempt"]
            for entry in begun
            if entry["attempt"] in context.deadly_attempts and entry["at_ms"] > bound_ms
        }
    print(f"{len(crashes)} crashes, {len(late)} late; answers {context.deadly}")
    assert crashes, "nothing crashed"
    assert len(late) <= most, late
    assert context.deadly[-last:] == [502] * last, context.deadly


@when(
    "{count:d} requests with a deadly part come {gap_s:g} s apart, beside sound ones with the same"
    " first part"
)
def send_deadly(context: Any, count: int, gap_s: float) -> None:
    prepare(context)
    context.deadly = send_beside(context, count, gap_s, [])


def prepare(context: Any) -> None:
    if not hasattr(context, "number_lock"):
        context.number, context.number_lock = 0, threading.Lock()
        context.deadly_part, context.deadly_attempts = "dead", set()


def send_beside(context: Any, count: int, gap_s: float, sound: list[int]) -> list[int]:
    """Send deadly requests one after the other, and sound ones all the while."""
    is_over = threading.Event()

    def send_sound(name: str) -> None:
        while not is_over.is_set():
            sound.append(send_with(context, name, f"{FIRST_PART}:40,50a1:10"))
            time.sleep(0.05)

    names = GATEWAYS * SOUND_CALLERS
    threads = [threading.Thread(target=send_sound, args=(name,)) for name in names]
    deadly: dict[int, int] = {}

    def send_one(number: int) -> None:
        name = GATEWAYS[number % 2]
        deadly[number] = send_with(
            context, name, f"{FIRST_PART}:40,{context.deadly_part}:{20 + number}"
        )

    for thread in threads:
        thread.start()
    time.sleep(0.5)
    each = [threading.Thread(target=send_one, args=(number,)) for number in range(count)]
    for thread in each:
        thread.start()
        time.sleep(gap_s)
    for thread in each:
        thread.join()
    is_over.set()
    for thread in threads:
        thread.join()
    return [deadly[number] for number in range(count)]


@then(
    "at most {most:d} replicas have crashed and the last {last:d} requests with the part were"
    " refused"
)
def check_deadly(context: Any, most: int, last: int) -> None:
    crashes = context.gateways.journal("crash")
    print(f"{len(crashes)} crashes; answers {context.deadly}")
    assert crashes, "nothing crashed"
    assert len(crashes) <= most, len(crashes)
    assert context.deadly[-last:] == [502] * last, context.deadly


@then(
    "{least:d} of {of:d} sound requests with the same first part are served, beside {count:d} more"
    " with the deadly part"
)
def check_sound(context: Any, least: int, of: int, count: int) -> None:
    # Crashed replicas are back after 1 s, and get their layers anew.
    time.sleep(3.0)
    sound: list[int] = []
    context.deadly = send_beside(context, count, 0.4, sound)
    print(f"{sound.count(200)} of {len(sound)} sound requests served")
    assert len(sound) >= of, len(sound)
    assert sound.count(200) * of >= least * len(sound), sound


class Host:
    """A host's crash detector among replicas that a scenario ends."""

    def __init__(self, name: str, clock: ManualClock, state: MemoryState) -> None:
        names = [f"r{number}" for number in range(20)]
        self.clock = clock
        self.replicas = {name: replica(name, "a", "card", None) for name in names}
        self.record = create_crash_record(clock)
        self.background = create_background_tasks()
        view: Any = create_replica_view(clock, self.replicas)
        self.detector = create_crash_detector(
            clock,
            self.record,
            view,
            create_replica_health(clock),
            self.background,
            create_retrials(name, clock, self.record, MemoryStore(state)),
        )

    async def end_whole(
        self, request: SentRequest, *, events: int = 40, runs: int = 1, is_lost: bool = False
    ) -> None:
        """End a request as whole, and wait until its replica has lived on, unless that is lost."""
        name = next(iter(self.replicas))
        executed_on = self.detector.list_alive([name])
        self.detector.note_whole(request, executed_on, events=events, runs=runs)
        self.clock.advance(SURVIVAL_MS - 300.0)
        if is_lost:
            self.replicas[name] = replica(name, "a", "card", None, started_ms=99)
        self.clock.advance(300.0)
        for _ in range(30):
            await asyncio.sleep(0)
        self.detector.is_convicted(request)
        if is_lost:
            del self.replicas[name]

    async def crash_together(
        self, requests: list[SentRequest], writing: Sequence[SentRequest] = ()
    ) -> None:
        """Crash one replica under several requests, and streams that had been writing."""
        name = next(iter(self.replicas))
        executed_on = self.detector.list_alive([name])
        for request in requests:
            self.detector.observe_send(request, executed_on)
        for request in writing:
            request.has_progressed = True
            self.detector.observe_send(request, executed_on, events=WRITTEN_EVENTS)
        self.replicas[name] = replica(name, "a", "card", None, started_ms=99)
        for _ in range(30):
            await asyncio.sleep(0)
        del self.replicas[name]

    async def crash_under(self, requests: list[SentRequest], *, has_written: bool = False) -> None:
        """Crash one replica under each request, all at once."""
        names = list(self.replicas)[: len(requests)]
        for request, name in zip(requests, names, strict=True):
            executed_on = self.detector.list_alive([name])
            if has_written:
                request.has_progressed = True
            events = WRITTEN_EVENTS if has_written else 0
            self.detector.observe_send(request, executed_on, events=events)
        # A record that is gone at once was withdrawn; these replicas have started anew.
        for name in names:
            self.replicas[name] = replica(name, "a", "card", None, started_ms=99)
        for _ in range(30):
            await asyncio.sleep(0)
        for name in names:
            del self.replicas[name]


def create_request(parts: str, number: int) -> SentRequest:
    return SentRequest(f"request {number}", part_keys(parts.split()))


def is_refused(host: Host, parts: str) -> bool:
    return asyncio.run(host.detector.is_refused(create_request(parts, 99)))


def is_convicted(host: Host, parts: str) -> bool:
    """Whether a request with these parts is refused but in a trial."""
    return bool(host.detector.is_convicted(create_request(parts, 99)))


@given("a host that has just started")
def new_host(context: Any) -> None:
    context.clock = ManualClock(1_000.0)
    context.state = MemoryState(context.clock)
    context.host = Host("h1", context.clock, context.state)


@given("a host at which a sound request has run to its end on the parts a and b")
def host_with_sound_parts(context: Any) -> None:
    new_host(context)
    asyncio.run(context.host.end_whole(create_request("a b", 0)))


@given(
    "another host at which five requests with the parts a and x wrote before they crashed a replica"
    " each"
)
def host_with_crashes(context: Any) -> None:
    context.other = Host("h2", context.clock, context.state)
    for number in range(5):
        request = create_request("a x", number)
        asyncio.run(context.other.crash_under([request], has_written=True))
    assert is_convicted(context.other, "a b")


@when("the hosts exchange what they know")
def exchange(context: Any) -> None:
    hosts = (context.host, context.other)
    for host, other in (hosts, hosts[::-1]):
        name = "h1" if host is context.host else "h2"
        host.record.subscribe(
            lambda entry, other=other, name=name: other.record.receive(entry, name)
        )
    for key in part_keys(["a", "x"]):
        entry = context.other.record.find(key)
        assert entry is not None
        context.host.record.receive(entry, "h2")


@then("requests with the part x are refused at both hosts, and those with a and b at neither")
def check_exchanged(context: Any) -> None:
    for host in (context.host, context.other):
        assert is_convicted(host, "x c")
        assert not is_refused(host, "a b")


@when("three requests with the parts a, b and x crash a replica each")
def crash_three(context: Any) -> None:
    for number in range(3):
        asyncio.run(context.host.crash_under([create_request("a b x", number)]))


@then("a request with the parts {parts} is refused, and one with a, b and c is not")
def check_part(context: Any, parts: str) -> None:
    assert is_refused(context.host, as_ids(parts))
    assert not is_refused(context.host, "a b c")


def as_ids(parts: str) -> str:
    return parts.replace(",", "").replace(" and ", " ")


@then("a request with the parts {parts} is not refused")
def check_not_refused(context: Any, parts: str) -> None:
    assert not is_convicted(context.host, as_ids(parts))
    assert not is_refused(context.host, as_ids(parts))


@then("a request with the parts {parts} is not refused, and one with {others} is")
def check_both(context: Any, parts: str, others: str) -> None:
    assert not is_refused(context.host, as_ids(parts))
    assert is_convicted(context.host, as_ids(others))


@then("a request with the parts {parts} is refused")
def check_refused(context: Any, parts: str) -> None:
    assert is_convicted(context.host, as_ids(parts))


def writing_send(events: int) -> Any:
    return SimpleNamespace(events=events)


@when("{count:d} streams have written {events:d} events on the part a")
@when("{count:d} stream has written {events:d} events on the part a")
def write_on(context: Any, count: int, events: int) -> None:
    context.send = writing_send(events)
    context.writing = [create_request("a", number) for number in range(count)]
    for request in context.writing:
        context.host.detector.note_writing(request, context.send)


@when("the streams that write on the part a have ended, none of them whole")
def end_writing(context: Any) -> None:
    for request in context.writing:
        context.host.detector.note_writing_ended(request, context.send)


@when("five replicas are lost at once, each under a request with the parts a and b")
def lose_five(context: Any) -> None:
    requests = [create_request("a b", number) for number in range(5)]
    asyncio.run(context.host.crash_under(requests))


@when("another host convicts part a")
def convict_elsewhere(context: Any) -> None:
    (key,) = part_keys(["a"])
    context.told = []
    context.host.record.subscribe(context.told.append)
    context.host.record.receive(CrashEntry(key, ["r1/1", "r2/1", "r3/1"]), "h2")


@then("this host doesn't refuse requests with it, and tells the other that it is sound")
def check_vindicated(context: Any) -> None:
    assert not is_refused(context.host, "a b")
    assert context.told
    assert not context.told[-1].is_convicted


@when(
    "two requests with the parts a and x crash a replica each, a third one is whole, and a fourth one"
    " crashes one"
)
def crash_around_whole(context: Any) -> None:
    crash_two(context)
    asyncio.run(context.host.end_whole(create_request("a x", 2)))
    crash_fourth(context)


@when("two requests with the parts a and x crash a replica each")
def crash_two(context: Any) -> None:
    for number in range(2):
        asyncio.run(context.host.crash_under([create_request("a x", number)]))


@when("a third one writes")
def write_third(context: Any) -> None:
    request, send = create_request("a x", 2), writing_send(WRITTEN_EVENTS)
    context.host.detector.note_writing(request, send)
    context.host.detector.note_writing_ended(request, send)


@when("a third one is whole by {events:d} events of the second of its sends")
def resume_third(context: Any, events: int) -> None:
    asyncio.run(context.host.end_whole(create_request("a x", 2), events=events, runs=2))


@when("a third one is whole and its replica crashes 1.2 s later")
def lose_third(context: Any) -> None:
    asyncio.run(context.host.end_whole(create_request("a x", 2), is_lost=True))


@when("a fourth one crashes a replica")
def crash_fourth(context: Any) -> None:
    asyncio.run(context.host.crash_under([create_request("a x", 3)]))


@when("a request with the parts {parts} comes")
def come(context: Any, parts: str) -> None:
    assert not is_refused(context.host, as_ids(parts))


@when(
    "one request with the part r crashes a replica together with each of {count:d} requests with the"
    " part y"
)
def crash_together(context: Any, count: int) -> None:
    come(context, "y")
    for number in range(count):
        requests = [create_request("y", 40 + number), create_request("r", 50)]
        asyncio.run(context.host.crash_together(requests))


@when(
    "two streams with the part w that had written lose their replica with each of {count:d} requests"
    " with the part y"
)
def crash_beside_writing(context: Any, count: int) -> None:
    come(context, "w")
    for _ in range(2):
        come(context, "y")
    for number in range(count):
        writing = [create_request("w", 50), create_request("w", 51)]
        asyncio.run(context.host.crash_together([create_request("y", 40 + number)], writing))
    entry = context.host.record.find(part_keys(["w"])[0])
    assert entry is not None and entry.is_convicted, entry


@when("1.2 s pass")
def pass_early(context: Any) -> None:
    context.clock.advance(1_200.0)


@then("a request with the parts a and x gets no trial, and one with a and c does")
def check_trials(context: Any) -> None:
    deadly, common = create_request("a x", 60), create_request("a c", 61)
    assert asyncio.run(context.host.detector.is_refused(deadly))
    assert not asyncio.run(context.host.detector.is_refused(common))
    assert common.is_on_trial


@when("{count:d} requests with the part a are whole, each by the second of its sends")
def survive(context: Any, count: int) -> None:
    for number in range(count):
        asyncio.run(context.host.end_whole(create_request("a", 30 + number), events=8, runs=2))


@when(
    "{count:d} streams with the parts {parts} lose their replica after they have written 12 events"
)
def lose_written(context: Any, count: int, parts: str) -> None:
    for number in range(count):
        request = create_request(as_ids(parts), 10 + number)
        asyncio.run(context.host.crash_under([request], has_written=True))


@when("1 stream with the parts {parts} loses its replica after it has written 12 events")
def lose_one_written(context: Any, parts: str) -> None:
    request = create_request(as_ids(parts), 20)
    asyncio.run(context.host.crash_under([request], has_written=True))


@given("a host that refuses part x, and another host")
def host_that_refuses(context: Any) -> None:
    host_with_sound_parts(context)
    context.other = Host("h2", context.clock, context.state)
    for host in (context.host, context.other):
        for number in range(3):
            asyncio.run(host.crash_under([create_request("x", number)]))
        assert is_refused(host, "x")


@when("30 s pass")
def pass_time(context: Any) -> None:
    context.clock.advance(30_000.0)


@then("one request with it may run, at one of the hosts")
def check_one_trial(context: Any) -> None:
    context.trial = create_request("x", 50)
    assert not asyncio.run(context.host.detector.is_refused(context.trial))
    for host in (context.host, context.other):
        assert is_refused(host, "x")


@when("it writes")
def write_in_trial(context: Any) -> None:
    context.host.record.subscribe(lambda entry: context.other.record.receive(entry, "h1"))
    context.send = writing_send(1)
    context.host.detector.note_writing(context.trial, context.send)


@then("further requests with it are refused at both hosts")
def check_still_refused(context: Any) -> None:
    for host in (context.host, context.other):
        assert is_refused(host, "x")


@when("it is whole")
def end_trial(context: Any) -> None:
    context.host.detector.note_writing_ended(context.trial, context.send)
    asyncio.run(context.host.end_whole(context.trial))


@then("requests with it are served at both hosts")
def check_served(context: Any) -> None:
    for host in (context.host, context.other):
        assert not is_refused(host, "x")
