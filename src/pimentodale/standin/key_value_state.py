"""Keys, revisions, leases and history of the stand-in key-value service."""

from __future__ import annotations

from bisect import bisect_left, insort
from copy import deepcopy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pimentodale.clients.etcd_messages import (
    DeleteRangeRequest,
    DeleteRangeResponse,
    EtcdCompare,
    EtcdKeyValue,
    Header,
    LeaseResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseOp,
    TxnRequest,
    TxnResponse,
    WatchEvent,
)
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from pimentodale.clock import Clock


class LeaseNotFoundError(LookupError):
    """The lease that a write names is gone."""


@dataclass(slots=True)
class StoredKey:
    """One key as it stands."""

    value: bytes
    """Its value."""

    create_revision: int
    """Revision at which it was created."""

    mod_revision: int
    """Revision of its last change."""

    version: int
    """Changes since it was created."""

    lease_id: int
    """The lease that it goes with; 0 for none."""


@dataclass(slots=True)
class Lease:
    """One lease."""

    ttl_s: int
    """Time to live in s."""

    expires_ms: float
    """When it lapses, on the stand-in's clock."""

    keys: set[bytes] = field(default_factory=set)
    """Keys that go with it."""


@dataclass(slots=True)
class Change:
    """One event of the history."""

    revision: int
    """Revision at which it happened."""

    event: WatchEvent
    """The event as watches report it."""


@dataclass(slots=True)
class KeyValueState:
    """All that the service knows; a copy of it is a snapshot."""

    history_events: int
    """Most events kept for watches."""

    revision: int = 1
    """Rises by one with each write that changes something."""

    compact_revision: int = 0
    """Revisions up to this one are no longer in the history."""

    keys: dict[bytes, StoredKey] = field(default_factory=dict)
    """Keys that exist."""

    order: list[bytes] = field(default_factory=list)
    """The same keys, sorted."""

    leases: dict[int, Lease] = field(default_factory=dict)
    """Leases by id."""

    next_lease_id: int = 7000
    """Id of the next lease."""

    history: list[Change] = field(default_factory=list)
    """Events in the order of their revisions."""

    def copy(self) -> KeyValueState:
        """Return a copy that later writes do not touch."""
        return deepcopy(self)

    def header(self) -> Header:
        """Return the header of an answer given now."""
        return Header(revision=str(self.revision))

    def range(self, request: RangeRequest) -> RangeResponse:
        """Read a range."""
        names = self._names(request.key, request.range_end)
        limit = int(request.limit)
        chosen = names[:limit] if limit else names
        return RangeResponse(
            header=self.header(),
            kvs=[self._export(name, request.keys_only) for name in chosen],
            more=len(chosen) < len(names),
            count=str(len(names)),
        )

    def txn(self, request: TxnRequest) -> TxnResponse:
        """Run a transaction; all its writes have one revision.

        Raises:
            LeaseNotFoundError: If a write names a lease that is gone; nothing is written then.
        """
        succeeded = all(self._holds(compare) for compare in request.compare)
        steps = request.success if succeeded else request.failure
        for step in steps:
            if step.request_put is not None:
                self._require_lease(step.request_put)
        # Writes share the next revision; it counts only if one of them changed something.
        before = len(self.history)
        next_revision = self.revision + 1
        responses = [self._step(step, next_revision) for step in steps]
        if len(self.history) > before:
            self.revision = next_revision
            self._compact()
        return TxnResponse(header=self.header(), succeeded=succeeded, responses=responses)

    def put(self, request: PutRequest) -> PutResponse:
        """Write one key."""
        self.txn(TxnRequest(success=[RequestOp(request_put=request)]))
        return PutResponse(self.header())

    def delete_range(self, request: DeleteRangeRequest) -> DeleteRangeResponse:
        """Remove a range."""
        reply = self.txn(TxnRequest(success=[RequestOp(request_delete_range=request)]))
        removed = reply.responses[0].response_delete_range
        return DeleteRangeResponse(self.header(), "0" if removed is None else removed.deleted)

    def grant(self, ttl_s: int, clock: Clock) -> LeaseResponse:
        """Create a lease."""
        self.next_lease_id += 1
        expires_ms = clock.now_ms() + ttl_s * MS_PER_S
        self.leases[self.next_lease_id] = Lease(ttl_s, expires_ms)
        return LeaseResponse(self.header(), str(self.next_lease_id), str(ttl_s))

    def keep_alive(self, lease_id: int, clock: Clock) -> LeaseResponse:
        """Renew a lease; the answer's time to live is 0 when it is gone."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return LeaseResponse(self.header(), str(lease_id), "0")
        lease.expires_ms = clock.now_ms() + lease.ttl_s * MS_PER_S
        return LeaseResponse(self.header(), str(lease_id), str(lease.ttl_s))

    def revoke(self, lease_id: int) -> bool:
        """End a lease and remove its keys; return whether there was one."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        removals = [
            RequestOp(request_delete_range=DeleteRangeRequest(key)) for key in sorted(lease.keys)
        ]
        self.txn(TxnRequest(success=removals))
        return True

    def expire(self, clock: Clock) -> bool:
        """End the leases whose time is over; return whether there were any."""
        now_ms = clock.now_ms()
        lapsed = [number for number, lease in self.leases.items() if lease.expires_ms <= now_ms]
        for number in lapsed:
            self.revoke(number)
        return bool(lapsed)

    def events_from(self, revision: int, key: bytes, range_end: bytes) -> list[WatchEvent]:
        """Return the kept events of a range from a revision on."""
        first = bisect_left(self.history, revision, key=lambda change: change.revision)
        return [
            change.event
            for change in self.history[first:]
            if _within(change.event.kv.key, key, range_end)
        ]

    def _names(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return the existing keys of a range."""
        if not range_end:
            return [key] if key in self.keys else []
        first = bisect_left(self.order, key)
        last = len(self.order) if range_end == b"\0" else bisect_left(self.order, range_end)
        return self.order[first:last]

    def _export(self, name: bytes, keys_only: bool) -> EtcdKeyValue:
        """Return a key as answers carry it."""
        stored = self.keys[name]
        return EtcdKeyValue(
            key=name,
            create_revision=str(stored.create_revision),
            mod_revision=str(stored.mod_revision),
            version=str(stored.version),
            value=b"" if keys_only else stored.value,
            lease=str(stored.lease_id),
        )

    def _holds(self, compare: EtcdCompare) -> bool:
        """Whether a condition holds."""
        stored = self.keys.get(compare.key)
        if compare.target == "MOD":
            actual, wanted = (stored.mod_revision if stored else 0), int(compare.mod_revision)
        elif compare.target == "CREATE":
            actual, wanted = (stored.create_revision if stored else 0), int(compare.create_revision)
        else:
            raise ValueError(f"the stand-in does not compare {compare.target}; use MOD or CREATE")
        if compare.result == "EQUAL":
            return actual == wanted
        if compare.result == "NOT_EQUAL":
            return actual != wanted
        return actual > wanted if compare.result == "GREATER" else actual < wanted

    def _require_lease(self, put: PutRequest) -> None:
        """Raise if the write's lease is gone."""
        lease_id = int(put.lease)
        if lease_id and lease_id not in self.leases:
            raise LeaseNotFoundError(f"lease {lease_id} not found")

    def _step(self, step: RequestOp, revision: int) -> ResponseOp:
        """Run one step of a transaction."""
        if step.request_range is not None:
            return ResponseOp(response_range=self.range(step.request_range))
        if step.request_put is not None:
            self._write(step.request_put, revision)
            return ResponseOp(response_put=PutResponse(Header(str(revision))))
        if step.request_delete_range is not None:
            removed = self._remove(step.request_delete_range, revision)
            answer = DeleteRangeResponse(Header(str(revision)), str(removed))
            return ResponseOp(response_delete_range=answer)
        raise ValueError("a step of a transaction is empty")

    def _write(self, put: PutRequest, revision: int) -> None:
        """Write one key and note the event."""
        old = self.keys.get(put.key)
        lease_id = int(put.lease)
        if old is None:
            insort(self.order, put.key)
        elif old.lease_id in self.leases:
            self.leases[old.lease_id].keys.discard(put.key)
        if lease_id:
            self.leases[lease_id].keys.add(put.key)
        self.keys[put.key] = StoredKey(
            value=put.value,
            create_revision=revision if old is None else old.create_revision,
            mod_revision=revision,
            version=1 if old is None else old.version + 1,
            lease_id=lease_id,
        )
        self.history.append(Change(revision, WatchEvent(kv=self._export(put.key, False))))

    def _remove(self, request: DeleteRangeRequest, revision: int) -> int:
        """Remove a range and note the events; return how many keys went."""
        names = list(self._names(request.key, request.range_end))
        for name in names:
            stored = self.keys.pop(name)
            del self.order[bisect_left(self.order, name)]
            if stored.lease_id in self.leases:
                self.leases[stored.lease_id].keys.discard(name)
            gone = EtcdKeyValue(key=name, mod_revision=str(revision))
            self.history.append(Change(revision, WatchEvent("DELETE", gone)))
        return len(names)

    def _compact(self) -> None:
        """Drop the oldest half of a history that has grown too long."""
        if len(self.history) <= self.history_events:
            return
        cut = self.history[len(self.history) - self.history_events // 2 - 1].revision
        self.compact_revision = cut
        kept = bisect_left(self.history, cut + 1, key=lambda change: change.revision)
        del self.history[:kept]


def _within(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Whether a key lies in a range."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\0" or name < range_end)
