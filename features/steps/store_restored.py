"""Steps for a store that returns from an older copy."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from expression import Ok
from features.steps.configuration_in_force import APPLY_MS
from features.support.mirror_site import RECORDS, MirrorSite
from structlog.testing import capture_logs

from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import ManualClock
from pimentodale.forwarding.forwarder import STALE_CONFIGURATION_MS
from pimentodale.mirror.follower import WATCHERS
from pimentodale.mirror.mirror import create_mirror
from pimentodale.peers.mesh import choose_watchers
from pimentodale.platform.store import PlatformStore
from pimentodale.site.view import create_site_view

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
    with capture_logs() as lines:
        for _ in range(5):
            asyncio.run(context.store.read("a/", "a0"))
    context.lines = lines


@then("the adapter's era is 3, and it has logged {count:d} line")
def check_era(context: Any, count: int) -> None:
    assert context.store.era == 3
    assert len(context.lines) == count, context.lines
