"""Steps for a store that returns from an older copy."""

from __future__ import annotations

import asyncio
import json
import random
import re
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from behave import given, then, when
from expression import Ok
from features.steps.configuration_in_force import APPLY_MS
from features.support.gateway_site import ENGINE_REPLICAS, GATEWAYS
from features.support.mirror_site import RECORDS, MirrorHost, MirrorSite, SimulatedStore
from features.support.site import wait_until
from features.support.virtual_time import run_virtually

from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import KeyValue, Put, fencing_number
from pimentodale.clock import MS_PER_S, ManualClock
from pimentodale.forwarding.forwarder import STALE_CONFIGURATION_MS
from pimentodale.gateway.registration import keep_registered
from pimentodale.mirror.follower import WATCHERS
from pimentodale.mirror.mirror import create_mirror
from pimentodale.peers.mesh import choose_watchers
from pimentodale.placement.placer import LEASE_NAME, Placer, highest_fence
from pimentodale.platform import store as platform_store
from pimentodale.platform.store import PlatformStore
from pimentodale.quarantine.crash_record import create_crash_record
from pimentodale.quarantine.crash_sharing import CRASH_PREFIX, share_crashes
from pimentodale.quarantine.retrials import RETRIAL_PREFIX, TRIALS_AFTER_MS, create_retrials
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.site.replica_health import create_replica_health
from pimentodale.site.view import HOST_PREFIX, create_site_view
from pimentodale.steward.lease import LEASE_PREFIX, LeaseHandover

if TYPE_CHECKING:
    from collections.abc import Callable

PHASES = 12
"""Number of moments at which each case is played."""

AWAY_MS = 500.0
"""How long the store is away."""

COPY_AGE_MS = 3_000.0
"""Age of the copy from which it returns."""

OBSERVED_MS = 4_500.0
"""How long hosts are looked at after the last change."""


def age_copy(site: MirrorSite) -> None:
    """Let time pass after a copy, in which revisions rise and configurations change."""
    for number in range(6):
        site.run(COPY_AGE_MS / 6)
        site.put(f"k/{site.version}/{number}", "")
        if number % 2:
            site.configure()


def return_once(site: MirrorSite, away_ms: float = AWAY_MS) -> None:
    """Let the store return; the operators write the newest configuration again."""
    copy = site.copy()
    age_copy(site)
    site.restore(copy, away_ms)
    site.check_until(site.rng.uniform(0.0, 1_500.0), APPLY_MS, STALE_CONFIGURATION_MS)
    site.configure(site.version)


def return_twice(site: MirrorSite) -> None:
    return_once(site)
    site.check_until(site.rng.uniform(0.0, 1_000.0), APPLY_MS, STALE_CONFIGURATION_MS)
    return_once(site)


def return_past_cut(site: MirrorSite) -> None:
    name = choose(site)[0]
    site.cut_off.add(name)
    return_once(site)
    site.check_until(1_000.0, APPLY_MS, STALE_CONFIGURATION_MS)
    site.cut_off.discard(name)


def return_past_killed(site: MirrorSite) -> None:
    names = choose(site)
    other = next(host for host in site.hosts if host.startswith("h0") and host not in names)
    site.lose(other)
    return_once(site)
    site.lost.discard(other)
    site.start_host(other)


def return_amid_change(site: MirrorSite) -> None:
    copy = site.copy()
    age_copy(site)
    site.configure()
    site.run(site.rng.uniform(0.0, 20.0))
    site.restore(copy, 0.0)
    site.configure(site.version)
    site.configure()


def return_from_all(site: MirrorSite) -> None:
    site.restore(site.copy(), AWAY_MS)
    site.configure()


CASES: dict[str, Callable[[MirrorSite], None]] = {
    "once": return_once,
    "twice": return_twice,
    "while a watcher is cut off": return_past_cut,
    "while a host that doesn't watch is killed": return_past_killed,
    "while a change is under way": return_amid_change,
    "after it was away for 4 s": lambda site: return_once(site, 4_000.0),
    "from a copy that has all": return_from_all,
}


def choose(site: MirrorSite) -> list[str]:
    """Return the ranked watchers of the first failure domain."""
    names = {member.host for member in site.members if member.failure_domain == "d0"}
    return choose_watchers("d0", names, WATCHERS)


@when("the store returns from a copy and configurations change after it, {case}")
def return_store(context: Any, case: str) -> None:
    domains, hosts = context.shape
    context.late, context.refusals, context.back, context.different = [], [], [], []
    for phase in range(PHASES):
        site = MirrorSite(context.site.seed + phase, domains, hosts)
        site.start()
        site.run(site.rng.uniform(0.0, 2_000.0))
        CASES[case](site)
        site.run(site.rng.uniform(0.0, 300.0))
        site.configure()
        site.check_until(OBSERVED_MS, APPLY_MS, STALE_CONFIGURATION_MS)
        context.late += site.late[:1]
        context.refusals += site.refusals[:1]
        context.back += site.back[:1]
        held = {key: item.revision for key, item in site.state.items.items()}
        for host in site.hosts.values():
            known = {key: item.mod_revision for key, item in host.view.mirror.items.items()}
            if known != held:
                context.different.append(host.name)
        site.stop()
    counts = (len(context.late), len(context.refusals), len(context.back), len(context.different))
    print(f"of {PHASES} moments late, refused, back, and hosts that differ: {counts}")


@then("no host went back to an earlier configuration")
def check_not_back(context: Any) -> None:
    assert not context.back, context.back[:3]


@then("every host has what the store holds")
def check_same(context: Any) -> None:
    assert not context.different, context.different[:5]


def record(name: str, revision: int, state: str = "ready") -> KeyValue:
    value = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": state, "born": 5}
    return KeyValue(RECORDS.replica_prefix + name, json.dumps(value).encode(), 1, revision)


def check_work(context: Any, names: set[str]) -> None:
    found = {replica.replica_id for replica in context.view.replicas_of("s")}
    assert found == names, found


@given("a host with replicas r1, r2 and r3, whose store has been copied")
def host_with_replicas(context: Any) -> None:
    context.clock = ManualClock(100_000.0)
    context.mirror = create_mirror(context.clock)
    context.view = create_site_view(RECORDS, context.mirror, context.clock)
    context.copied = [record("r1", 8), record("r3", 9)]
    context.mirror.apply_snapshot(10, context.copied, era=1)
    check_work(context, {"r1", "r3"})


@when("r1 announces that it leaves, r2 joins late, r3 is gone, and the store returns from the copy")
def return_with_replicas(context: Any) -> None:
    gone = RECORDS.replica_prefix + "r3"
    context.mirror.apply_changes(11, [record("r1", 11, "draining")], [], era=1)
    context.mirror.apply_changes(13, [record("r2", 12)], [gone], era=1)
    check_work(context, {"r2"})
    context.mirror.apply_snapshot(10, context.copied, era=2)


@then("r1 gets no new work, r2 gets work, and r3 doesn't")
def check_replicas(context: Any) -> None:
    check_work(context, {"r2"})


@when("r1 and r2 write their records again after 1.5 s")
def write_again(context: Any) -> None:
    context.clock.advance(1_500.0)
    records = [record("r1", 11, "draining"), record("r2", 12)]
    context.mirror.apply_changes(12, records, [], era=2)


@then("2 s after the return what the store holds of r3 counts")
def check_settled(context: Any) -> None:
    context.clock.advance(500.0)
    check_work(context, {"r2", "r3"})


class RecordingLog:
    """Takes the adapter's log lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def warning(self, event: str, **_fields: object) -> None:
        """Take one line."""
        self.lines.append(event)


class AnsweringStore(PlatformStore):
    """The adapter on answers that a scenario gives."""

    __slots__ = ("era_text",)

    async def _call(self, *_arguments: Any) -> Any:
        headers = {} if self.era_text == "" else {"Store-Era": self.era_text}
        return Ok(CallReply(200, headers, b'{"items": [], "at": 4}'))


@given("a store's adapter that has seen era 3")
def adapter_at_3(context: Any) -> None:
    context.store = AnsweringStore(Address("127.0.0.1", 1))
    context.store.era_text = "3"
    assert asyncio.run(context.store.read("a/", "a0")).ok.era == 3


@when('five answers come with the era "{era}"')
@when('five answers come with the era ""')
def odd_answers(context: Any, era: str = "") -> None:
    context.store.era_text = era
    log = RecordingLog()
    with patch.object(platform_store, "_log", log):
        for _ in range(5):
            asyncio.run(context.store.read("a/", "a0"))
    context.lines = log.lines


@then("the adapter's era is 3, and it has logged {count:d} line")
def check_era(context: Any, count: int) -> None:
    assert context.store.era == 3
    assert len(context.lines) == count, context.lines


@given("two hosts at a store that has been copied")
def two_hosts(context: Any) -> None:
    context.mirrors = MirrorSite(context.site.seed, 1, 2)
    context.first, context.second = (SimulatedStore(context.mirrors, name) for name in ("a", "b"))
    context.copied = context.mirrors.copy()


def wait_for(context: Any, work: Any) -> Any:
    return run_virtually(context.mirrors.loop, work)


@when(
    "one of them gets a lease, the store returns, and the other one gets a lease with the same id"
)
def reissue_lease(context: Any) -> None:
    state = context.mirrors.state
    context.lease = wait_for(context, context.first.grant_lease(9_000.0)).ok
    before = wait_for(context, context.first.txn([], [Put("k", b"1", context.lease)])).ok
    context.fence_before = fencing_number(before.era, before.revision)
    number = state.next_lease
    context.mirrors.restore(context.copied, 10.0)
    context.other_lease = wait_for(context, context.second.grant_lease(9_000.0)).ok
    assert state.next_lease == number
    written = wait_for(context, context.second.txn([], [Put("j", b"2", context.other_lease)])).ok
    context.fence_after = fencing_number(written.era, written.revision)


@then("the first host's lease has ended, and it can't write by it or end the other one")
def check_lease_ended(context: Any) -> None:
    assert wait_for(context, context.first.keep_lease(context.lease)).ok == 0.0
    assert wait_for(context, context.first.txn([], [Put("k", b"1", context.lease)])).is_error()
    assert wait_for(context, context.first.revoke_lease(context.lease)).is_ok()
    assert wait_for(context, context.second.keep_lease(context.other_lease)).ok > 0.0
    assert "j" in context.mirrors.state.items


@then("what the first host writes by its lease, not knowing of the return, fails and is not kept")
def check_taken_back(context: Any) -> None:
    written = wait_for(context, context.first.txn([], [Put("k", b"1", context.lease)]))
    assert written.is_error(), written.ok
    assert written.error.may_have_applied
    assert "k" not in context.mirrors.state.items


@when("the first host ends its lease, not knowing of the return")
def end_lease(context: Any) -> None:
    assert wait_for(context, context.first.revoke_lease(context.lease)).is_ok()


@then("the other host's keys are kept")
def check_kept(context: Any) -> None:
    assert "j" in context.mirrors.state.items
    assert wait_for(context, context.second.keep_lease(context.other_lease)).ok > 0.0


@then("a transaction after the return has a higher fencing number than one before it")
def check_fences(context: Any) -> None:
    assert context.fence_after > context.fence_before


@given(
    "a site of {domains:d} failure domains of {hosts:d} hosts that follow the store and register"
)
def registering_site(context: Any, domains: int, hosts: int) -> None:
    site = context.mirrors = MirrorSite(context.site.seed, domains, hosts)
    context.copied = site.copy()
    site.start()
    for host in site.hosts.values():
        register(site, host.name)
    site.run(8_000.0)


def register(site: MirrorSite, name: str) -> None:
    """Keep a host's record in the store."""
    host = site.hosts[name]
    items = host.view.mirror
    key = HOST_PREFIX + name
    rng = random.Random(site.rng.random())
    work = keep_registered(
        host.store, site.clock, rng, name, "10.0.0.1:1", lambda: key in items.items
    )
    host.tasks.append(site.loop.create_task(work))


@when("the store returns from a copy that has none of their records")
def return_without_records(context: Any) -> None:
    site = context.mirrors
    assert len(registered(site)) == len(site.hosts)
    site.writes_ms.clear()
    site.restore(context.copied, AWAY_MS)
    assert not registered(site)


def registered(site: MirrorSite) -> set[str]:
    return {key for key in site.state.items if key.startswith(HOST_PREFIX)}


@then("all records are there within 2 s, by at most {peak:d} writing calls in any second")
def check_records(context: Any, peak: int) -> None:
    site = context.mirrors
    site.run(2_000.0)
    assert len(registered(site)) == len(site.hosts), len(registered(site))
    times = sorted(site.writes_ms)
    most = max(sum(start <= at < start + MS_PER_S for at in times) for start in times)
    print(f"{len(times)} writing calls, at most {most} in a second")
    assert most <= peak, most
    site.stop()


@given(
    "a site of {domains:d} failure domains of {hosts:d} hosts that follow the store, register and"
    " place layers"
)
def placing_site(context: Any, domains: int, hosts: int) -> None:
    registering_site(context, domains, hosts)
    site = context.mirrors
    context.placers = []
    for rank, host in enumerate(site.hosts.values()):
        context.placers.append(create_placer(site, host, rank))
    context.without_lease = site.copy()
    for placer in context.placers:
        site.loop.create_task(placer.run())
    site.run(6_000.0)
    context.with_lease = site.copy()


def create_placer(site: MirrorSite, host: MirrorHost, rank: int) -> Placer:
    """Return the placer of a host, with its rank among those that may take the lease."""
    engines: Any = None
    return Placer(
        host.name,
        host.store,
        engines,
        host.view,
        create_replica_health(site.clock),
        site.clock,
        random.Random(site.rng.random()),
        lambda: rank,
    )


def ordering(context: Any) -> list[Placer]:
    """Return the hosts that may order now."""
    return [placer for placer in context.placers if placer._may_order()]


@when("the store returns from a copy that {case}")
def return_with_placers(context: Any, case: str) -> None:
    site = context.mirrors
    (holder,) = ordering(context)
    context.fence = holder.lease.fencing_number
    assert context.fence == max(highest_fence(host.view) for host in site.hosts.values())
    site.run(2_000.0)
    if "cut off" in case:
        site.cut_off.add(holder.host)
    handed = hand_over(site, holder) if case.endswith("hands it over") else None
    copy = context.with_lease if case.startswith("has") else context.without_lease
    site.restore(copy, AWAY_MS)
    assert (LEASE_PREFIX + LEASE_NAME in site.state.items) == case.startswith("has")
    context.returned_ms = site.clock.now_ms()
    if handed is not None:
        next(placer for placer in context.placers if placer is not holder).take_over(handed)
    if case.endswith("starts"):
        start_placing_host(context, next(name for name in site.hosts if name != holder.host))
    context.at_once, context.placed_ms = 0, 0.0
    while site.clock.now_ms() < context.returned_ms + 12_000.0:
        site.run(25.0)
        found = ordering(context)
        context.at_once = max(context.at_once, len(found))
        for placer in found:
            if not context.placed_ms and placer.lease.fencing_number > context.fence:
                context.placed_ms = site.clock.now_ms()
    site.stop()


def hand_over(site: MirrorSite, holder: Placer) -> LeaseHandover:
    """Let the holder of the lease stop, and return what it hands over to another host."""
    handed: list[LeaseHandover] = []

    def keep(handover: LeaseHandover) -> bool:
        handed.append(handover)
        return True

    holder.hand_over = keep
    run_virtually(site.loop, holder.release())
    return handed[0]


def start_placing_host(context: Any, name: str) -> None:
    """Start a host again, first in rank for the lease."""
    site = context.mirrors
    context.placers = [placer for placer in context.placers if placer.host != name]
    site.start_host(name)
    context.placers.append(create_placer(site, site.hosts[name], 0))
    site.loop.create_task(context.placers[-1].run())


@then("no two hosts could order at the same time")
def check_one_holder(context: Any) -> None:
    assert context.at_once == 1, context.at_once


@then(
    "one host places layers at most {limit_ms:d} ms after the return, with a higher fencing number"
)
def check_placed(context: Any, limit_ms: int) -> None:
    assert context.placed_ms, "nobody places layers"
    assert context.placed_ms - context.returned_ms <= limit_ms, context.placed_ms


@given("a host that has stored three crashes of a request and taken its trial, at a copied store")
def host_with_crashes(context: Any) -> None:
    site = context.mirrors = MirrorSite(context.site.seed, 1, 2)
    context.copied = site.copy()
    site.start()
    peers: Any = SimpleNamespace(publish=lambda *_a, **_k: None, subscribe=lambda *_a: None)
    context.trials = []
    for number, host in enumerate(site.hosts.values()):
        record = create_crash_record(site.clock)
        writer = create_store_writer(site.clock, host.store, 600_000.0)
        mirror = host.view.mirror
        trials = create_retrials(host.name, site.clock, record, host.store, mirror.has_settled)
        context.trials.append(trials)
        for crash in ("r1/5", "r2/5", "r3/5"):
            record.strike("f", crash, is_fresh=True)
        if number:
            continue
        rewrite = share_crashes(record, peers, writer.put, host.name)
        record.strike("f", "r4/5", is_fresh=True)
        mirror.subscribe_return(rewrite)
        mirror.subscribe_return(lambda trials=trials: site.loop.create_task(trials.rewrite()))
        site.loop.create_task(writer.run())
    site.run(TRIALS_AFTER_MS[0] + 100.0)
    assert wait_for(context, context.trials[0].acquire("f"))
    context.keys = {f"{CRASH_PREFIX}f/h00", f"{RETRIAL_PREFIX}f/1"}
    assert context.keys <= set(site.state.items)


@when("the store returns from the copy")
def return_from_copy(context: Any) -> None:
    site = context.mirrors
    site.restore(context.copied, AWAY_MS)
    while site.hosts["h00"].view.mirror.era == 1:
        site.run(10.0)


@then("the host has written the crashes and the trial again within 100 ms")
def check_written_again(context: Any) -> None:
    context.mirrors.run(100.0)
    assert context.keys <= set(context.mirrors.state.items), list(context.mirrors.state.items)


@then(
    "no other host takes a trial of the request in the 2 s after the return, or that one after it"
)
def check_no_trial(context: Any) -> None:
    del context.mirrors.state.items[f"{RETRIAL_PREFIX}f/1"]
    context.mirrors.run(1_500.0)
    assert not wait_for(context, context.trials[1].acquire("f"))
    wait_for(context, context.trials[0].rewrite())
    context.mirrors.run(1_000.0)
    assert not wait_for(context, context.trials[1].acquire("f"))
    context.mirrors.stop()


def extra_route(path: str) -> list[dict[str, Any]]:
    return [{"path_prefix": path, "kind": "idempotent", "service": "plain", "timeout_ms": 2_000}]


@when("the store returns from a copy made before the last configuration, and that is written again")
def return_with_processes(context: Any) -> None:
    site = context.gateways
    site.copy_store()
    for _ in range(4):
        site.configure()
        time.sleep(0.4)
    site.store_fault(down=True, down_mode="reset")
    time.sleep(AWAY_MS / MS_PER_S)
    assert site.return_store() == 2
    site.store_fault()
    site.write_configuration()
    time.sleep(0.5)


@when("the configuration gets a new route")
def add_route(context: Any) -> None:
    context.gateways.configure(extra_route("/fresh/"))
    context.acknowledged_s = time.monotonic()


@then("both gateways serve the new route within 2 s")
def check_new_route(context: Any) -> None:
    site = context.gateways
    time.sleep(max(0.0, context.acknowledged_s + APPLY_MS / MS_PER_S - time.monotonic()))
    for name in GATEWAYS:
        assert site.request(name, "/fresh/x", method="GET").status == 200, name


@when("the replicas of a copy of the model restart empty")
def restart_replicas(context: Any) -> None:
    for name in ENGINE_REPLICAS:
        if name.startswith("a"):
            context.gateways.admin(name, "restart")


@then(
    "both gateways serve streams again, and the replicas were ordered under a higher fencing number"
)
def check_streams(context: Any) -> None:
    site = context.gateways
    for name in GATEWAYS:
        wait_until(lambda name=name: site.serves(name), f"{name} serves streams", 15.0)
    lines = [program.log.read_text() for program in site.site.programs.values()]
    fences = [int(text) for log in lines for text in re.findall(r'"fence": (\d+)', log)]
    assert max(fences) >= fencing_number(2, 0), max(fences)
    assert min(fences) < fencing_number(2, 0)
