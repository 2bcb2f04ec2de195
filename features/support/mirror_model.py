"""Drawn histories of a store that several mirrors follow by reads in pages, watches and each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import KeyValue, create_watch_batch
from pimentodale.clock import ManualClock
from pimentodale.mirror.mirror import create_mirror

if TYPE_CHECKING:
    import random

    from pimentodale.clients.key_value import WatchBatch
    from pimentodale.mirror.mirror import Mirror, MirrorChanges

KEYS: Final = "abcd"
PAGE_ITEMS: Final = 1


@dataclass(slots=True)
class StoreModel:
    """A store that remembers all its changes."""

    revision: int = 1
    items: dict[str, KeyValue] = field(default_factory=dict)
    changes: list[tuple[KeyValue, bool]] = field(default_factory=list)
    """Each change in order, with whether the key was removed."""

    def write(self, key: str) -> None:
        """Write a key."""
        self.revision += 1
        self.items[key] = KeyValue(key, b"v", self.revision, self.revision)
        self.changes.append((self.items[key], False))

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.changes.append((KeyValue(key, b"", self.revision, self.revision), True))

    def page(self, after: str) -> tuple[list[KeyValue], bool]:
        """Return a page and whether another one follows."""
        keys = sorted(key for key in self.items if key > after)
        return [self.items[key] for key in keys[:PAGE_ITEMS]], len(keys) > PAGE_ITEMS

    def watch(self, after: int) -> WatchBatch:
        """Return the changes after a revision."""
        changes = [change for change in self.changes if change[0].mod_revision > after]
        return create_watch_batch(self.revision, changes)


@dataclass(slots=True)
class FollowingHost:
    """One host's mirror, and what it is receiving."""

    name: str
    mirror: Mirror = field(default_factory=lambda: create_mirror(ManualClock()))
    watched_to: int | None = None
    """Revision up to which the watch has reported; `None` without a watch."""

    read: list[KeyValue] | None = None
    """Items of the pages read so far; `None` if no read is in progress."""

    read_revision: int = 0
    replies: list[tuple[str, MirrorChanges]] = field(default_factory=list)
    """Replies of other hosts that have not been applied yet."""

    newest: dict[str, int] = field(default_factory=dict)
    """Highest revision of each key that this host has held."""

    def read_page(self, store: StoreModel) -> None:
        """Read one more page; apply the snapshot and start to watch after the last one."""
        if self.read is None:
            self.read, self.read_revision, self.watched_to = [], store.revision, None
        after = self.read[-1].key if self.read else ""
        items, has_more = store.page(after)
        self.read += items
        if has_more:
            return
        self.mirror.apply_snapshot(self.read_revision, self.read)
        self.watched_to, self.read = self.mirror.revision, None

    def receive_watch(self, store: StoreModel) -> None:
        """Apply the changes that the watch reports."""
        if self.watched_to is None:
            return
        batch = store.watch(self.watched_to)
        self.mirror.apply_changes(batch.revision, batch.puts, batch.deletes)
        self.watched_to = batch.revision

    def ask(self, other: FollowingHost) -> None:
        """Get another host's reply, to be applied now or later."""
        self.replies.append((other.name, other.mirror.changes_since(self.mirror.revision)))

    def apply_replies(self) -> None:
        """Apply the replies received so far."""
        for name, changes in self.replies:
            self.mirror.apply(changes, name)
        self.replies.clear()


def play_history(rng: random.Random, steps: int) -> int:
    """Play one drawn history and check all hosts after each step.

    Returns:
        The number of items that some host held at a later revision than its own.

    Raises:
        AssertionError: If a host lacks a change up to its revision, or has one that never was.
    """
    store = StoreModel()
    hosts = [FollowingHost(f"h{number}") for number in range(3)]
    early = 0
    for step in range(steps):
        host, other = rng.sample(hosts, 2)
        action = rng.choices(
            ("write", "remove", "page", "watch", "ask", "apply"), (3, 2, 4, 2, 3, 2)
        )
        if action == ["write"]:
            store.write(rng.choice(KEYS))
        elif action == ["remove"]:
            store.remove(rng.choice(KEYS))
        elif action == ["page"]:
            host.read_page(store)
        elif action == ["watch"]:
            host.receive_watch(store)
        elif action == ["ask"]:
            host.ask(other)
        else:
            host.apply_replies()
        for each in hosts:
            early += check_host(each, store, f"{action[0]} at {host.name}, step {step}")
    return early


def check_host(host: FollowingHost, store: StoreModel, where: str) -> int:
    """Compare a host's mirror with the store's changes; return how many of its items are early."""
    mirror = host.mirror
    if mirror.revision == 0:
        return 0
    early = 0
    for key in KEYS:
        changes = [(item.mod_revision, gone) for item, gone in store.changes if item.key == key]
        due = [change for change in changes if change[0] <= mirror.revision]
        last_revision, is_removed = due[-1] if due else (0, True)
        newest = host.newest.get(key, 0)
        item = mirror.items.get(key)
        if item is None:
            held = newest if is_removed else max(newest, last_revision)
            is_gone = any(gone for revision, gone in changes if revision > held)
            assert held == 0 or is_gone, f"{host.name} misses {key} after {where}"
            continue
        assert item.mod_revision >= newest, f"{host.name} has an older {key} after {where}"
        host.newest[key] = item.mod_revision
        if item.mod_revision <= mirror.revision:
            is_due = (item.mod_revision, False) == (last_revision, is_removed)
            assert is_due, f"{host.name} lacks a change of {key} after {where}"
        else:
            assert (item.mod_revision, False) in changes, f"{key} never was, after {where}"
            early += 1
    return early
