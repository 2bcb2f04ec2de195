"""The head replicas at which a client's attempt may have run.

A route's limit on attempts counts the live replicas that may have run the request. A stream that
has reached the limit can be resumed only at a head replica that has already run it, on another path
behind that replica.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.site.replica_health import Incarnation


@dataclass(slots=True)
class UsedHeads:
    """Head replicas at which one attempt may have run, and whether each may run it again."""

    _may_run_again: dict[Incarnation, bool] = field(default_factory=dict)

    def note(self, incarnation: Incarnation, *, may_run_again: bool) -> None:
        """Count a replica at which the attempt may have run.

        Args:
            incarnation: The replica.
            may_run_again: Whether the fault was in a replica behind it.
        """
        self._may_run_again[incarnation] = may_run_again

    def allowed(
        self, max_replicas: int, is_gone: Callable[[Incarnation], bool]
    ) -> frozenset[str] | None:
        """Return the ids of the head replicas that another send may use; `None` for any.

        Args:
            max_replicas: Maximum number of replicas that may run one attempt.
            is_gone: Returns whether a replica has stopped or is unreachable and no longer counts.
        """
        return self.allowed_beside(max_replicas, is_gone, ())

    def allowed_beside(
        self,
        max_replicas: int,
        is_gone: Callable[[Incarnation], bool],
        running_on: Collection[Incarnation],
    ) -> frozenset[str] | None:
        """Return the ids as `allowed` does, for a send beside others that are in progress.

        Args:
            max_replicas: Maximum number of replicas that may run one attempt.
            is_gone: Returns whether a replica has stopped or is unreachable and no longer counts.
            running_on: The head replicas of the sends in progress. They count in any case: one that
                seems to be gone may only have paused.
        """
        alive = [incarnation for incarnation in self._may_run_again if not is_gone(incarnation)]
        if len({*alive, *running_on}) < max_replicas:
            return None
        return frozenset(key[0] for key in alive if self._may_run_again[key])
