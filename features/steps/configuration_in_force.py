"""Steps for configurations that must be in force in time, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.mirror_site import MirrorSite

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.forwarder import STALE_CONFIGURATION_MS
from pimentodale.mirror.follower import WATCHERS
from pimentodale.peers.mesh import choose_watchers

if TYPE_CHECKING:
    from collections.abc import Callable

APPLY_MS = 2_000.0
"""Time in which the users' pages want a change in force."""

MAX_FAULTS = 3
"""Faults at once, of a site's 18 hosts."""

FAULT_RATE = 0.4
"""Chance of a further fault with each change."""

OBSERVED_MS = 4_500.0
"""How long hosts are looked at after each change."""


def cut_first(site: MirrorSite, watchers: list[str]) -> None:
    site.cut_off.add(watchers[0])


def kill_first(site: MirrorSite, watchers: list[str]) -> None:
    site.lose(watchers[0])


def cut_both(site: MirrorSite, watchers: list[str]) -> None:
    site.cut_off.update(watchers)


def kill_both(site: MirrorSite, watchers: list[str]) -> None:
    for name in watchers:
        site.lose(name)


def cut_and_kill(site: MirrorSite, watchers: list[str]) -> None:
    cut_first(site, watchers)
    site.lose(watchers[1])


def slow_pages(site: MirrorSite, watchers: list[str]) -> None:
    site.page_ms = 1_200.0
    site.cuts_after_page = True
    kill_both(site, watchers)


def slow_replies(site: MirrorSite, watchers: list[str]) -> None:
    site.reply_ms = 250.0


FAULTS: dict[str, Callable[[MirrorSite, list[str]], None]] = {
    "nothing is wrong": lambda _site, _watchers: None,
    "a watcher is cut off from the store": cut_first,
    "a watcher is killed": kill_first,
    "both watchers of a domain are cut off": cut_both,
    "both watchers of a domain are killed": kill_both,
    "one watcher is cut off and the other is killed": cut_and_kill,
    "a whole read takes 1.2 s, and the store is lost after it": slow_pages,
    "replies of other hosts take 250 ms": slow_replies,
}


@given("a site of {domains:d} failure domains of {hosts:d} hosts that follow the store")
def create_site(context: Any, domains: int, hosts: int) -> None:
    context.shape = (domains, hosts)


@when("configurations change at {phases:d} moments around a fault: {fault}")
def change_around(context: Any, phases: int, fault: str) -> None:
    domains, hosts = context.shape
    context.late, context.refusals, context.overstated = [], [], []
    for phase in range(phases):
        site = MirrorSite(context.site.seed + phase, domains, hosts)
        site.start()
        names = {member.host for member in site.members if member.failure_domain == "d0"}
        # The fault and the change come at any moment of the calls that hosts make.
        site.run(site.rng.uniform(0.0, 3_000.0))
        FAULTS[fault](site, choose_watchers("d0", names, WATCHERS))
        site.run(site.rng.uniform(0.0, 100.0))
        site.configure()
        site.run(site.rng.uniform(0.0, 1_500.0))
        site.configure()
        site.check_until(OBSERVED_MS, APPLY_MS, STALE_CONFIGURATION_MS)
        context.late += site.late[:1]
        context.refusals += site.refusals[:1]
        context.overstated += site.overstated[:1]
        site.stop()
    counts = (len(context.late), len(context.refusals), len(context.overstated))
    print(f"of {phases} moments late, refused, confirmed too early: {counts}")


@then("each was in force within 2 s at every host that reached the store")
def check_in_force(context: Any) -> None:
    assert not context.late, (len(context.late), context.late[:3])


@then("no host that lacked one took its copy for current")
def check_refusals(context: Any) -> None:
    assert not context.refusals, (len(context.refusals), context.refusals[:3])


@then("no copy counted as confirmed before the store had confirmed it")
def check_confirmed(context: Any) -> None:
    assert not context.overstated, (len(context.overstated), context.overstated[:3])


@when("{seeds:d} seeds of faults are played for {time_s:d} s each, with a change each {gap_s:g} s")
def play_faults(context: Any, seeds: int, time_s: int, gap_s: float) -> None:
    domains, hosts = context.shape
    context.late, context.refusals = [], []
    for number in range(seeds):
        late, refusals = play_seed(context.site.seed + number, domains, hosts, time_s, gap_s)
        context.late += [f"seed {context.site.seed + number}: {each}" for each in late[:1]]
        context.refusals += refusals[:1]


def play_seed(
    seed: int, domains: int, hosts: int, time_s: float, gap_s: float
) -> tuple[list[str], list[str]]:
    """Play one seed; return hosts in touch that were late, and hosts that took an old copy for new."""
    site = MirrorSite(seed, domains, hosts)
    site.start()
    end_ms = site.clock.now_ms() + time_s * MS_PER_S
    mending: list[tuple[float, Callable[[], None]]] = []
    while site.clock.now_ms() < end_ms:
        now_ms = site.clock.now_ms()
        for at_ms, mend in list(mending):
            if at_ms <= now_ms:
                mend()
                mending.remove((at_ms, mend))
        if len(mending) < MAX_FAULTS and site.rng.random() < FAULT_RATE:
            begin = site.rng.choice((cut_host, kill_host, isolate_host, return_store))
            mending.append((now_ms + site.rng.uniform(500.0, 7_000.0), begin(site)))
        site.configure()
        site.check_until(gap_s * MS_PER_S, APPLY_MS, STALE_CONFIGURATION_MS)
    site.stop()
    return site.late, site.refusals


def cut_host(site: MirrorSite) -> Callable[[], None]:
    """Cut a host off from the store."""
    name = site.rng.choice(list(site.hosts))
    site.harm(name)
    site.cut_off.add(name)

    def mend() -> None:
        site.cut_off.discard(name)
        site.harm(name)

    return mend


def kill_host(site: MirrorSite) -> Callable[[], None]:
    """Kill a host; it starts again."""
    name = site.rng.choice(list(site.hosts))
    site.harm(name)
    site.lose(name)

    def mend() -> None:
        site.harm(name)
        if name in site.lost:
            site.lost.discard(name)
            site.start_host(name)

    return mend


def isolate_host(site: MirrorSite) -> Callable[[], None]:
    """Cut a host off from the store and from all other hosts."""
    name = site.rng.choice(list(site.hosts))
    mend_cut = cut_host(site)
    site.harm(name)
    site.isolated.add(name)
    site.cut_off.add(name)

    def mend() -> None:
        site.isolated.discard(name)
        site.cut_off.discard(name)
        site.harm(name)
        mend_cut()

    return mend


def return_store(site: MirrorSite) -> Callable[[], None]:
    """Copy the store; it returns from the copy some seconds later."""
    copy = site.copy()

    def mend() -> None:
        if copy.content.era < site.state.era:
            return
        site.restore(copy, site.rng.uniform(0.0, 800.0))
        site.configure(site.version)
        for name in site.hosts:
            site.harm(name)

    return mend


@then("each was in force within 2 s at every host that had met no fault for 3 s")
def check_in_touch(context: Any) -> None:
    assert not context.late, (len(context.late), context.late[:5])
