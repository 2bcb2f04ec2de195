"""Replicas without a record in the store: whether they had announced it, and whether they ended.

A record that is gone doesn't show that the replica has ended. One that leaves without a word has its
record removed and serves on for a while, and records lapse while a replica is cut off from the store.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NamedTuple

from pimentodale.logs import get_log
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord
    from pimentodale.site.replica_health import Incarnation

MAX_DEPARTED: Final = 1_024
"""Maximum number of replicas remembered of each kind; the oldest go first."""

_log = get_log("site")


class _Gone(NamedTuple):
    """The last record of a replica, and when it was found to be gone."""

    record: ReplicaRecord
    since_ms: float


class DepartedReplicas:
    """Replicas whose record is gone, as far as one host knows."""

    __slots__ = ("_announced", "_clock", "_ended", "_gone")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._announced: OrderedDict[Incarnation, None] = OrderedDict()
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()
        self._gone: OrderedDict[str, _Gone] = OrderedDict()

    def note_gone(self, record: ReplicaRecord) -> None:
        """Keep the last record of a replica, which may serve on."""
        self._gone[record.replica_id] = _Gone(record, self._clock.now_ms())
        self._gone.move_to_end(record.replica_id)
        _trim(self._gone)

    def note_registered(self, record: ReplicaRecord) -> None:
        """Note that a replica has a record again."""
        self._gone.pop(record.replica_id, None)
        self._ended.pop(incarnation_of(record), None)

    def note_announced(self, incarnation: Incarnation) -> None:
        """Note that a replica had announced its departure."""
        self._announced[incarnation] = None
        _trim(self._announced)

    def note_ended(self, incarnation: Incarnation, reason: str) -> None:
        """Note that the process of a replica without a record no longer answers.

        Args:
            incarnation: The replica.
            reason: Reason for the log.
        """
        _log.info("A replica that is gone has ended.", replica=incarnation[0], reason=reason)
        self._ended[incarnation] = None
        _trim(self._ended)

    def has_announced(self, incarnation: Incarnation) -> bool:
        """Return whether a replica had announced its departure."""
        return incarnation in self._announced

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether a replica without a record is known to have ended."""
        return incarnation in self._ended

    def find(self, replica_id: str) -> ReplicaRecord | None:
        """Return the last record of a replica that has none any more."""
        gone = self._gone.get(replica_id)
        return None if gone is None else gone.record

    def gone_since_ms(self, incarnation: Incarnation) -> float | None:
        """Return when a replica's record was found to be gone; `None` if it isn't known."""
        gone = self._gone.get(incarnation[0])
        if gone is None or incarnation_of(gone.record) != incarnation:
            return None
        return gone.since_ms


def create_departed_replicas(clock: Clock) -> DepartedReplicas:
    """Return an empty memory of departed replicas."""
    return DepartedReplicas(clock)


def _trim(known: OrderedDict[str, _Gone] | OrderedDict[Incarnation, None]) -> None:
    """Drop the oldest entry if there are too many."""
    if len(known) > MAX_DEPARTED:
        known.popitem(last=False)
