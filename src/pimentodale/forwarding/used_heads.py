"""The first replicas at which one attempt of a client may have run.

A route's bound on attempts is one on replicas that run the request and live. A stream that has reached it
goes on at a replica that has run it already, on another path behind it, or not at all.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.site.beliefs import Incarnation


@dataclass(slots=True)
class UsedHeads:
    """First replicas of one attempt."""

    _may_run_again: dict[Incarnation, bool] = field(default_factory=dict)

    def note(self, incarnation: Incarnation, *, may_run_again: bool) -> None:
        """Count a replica at which the attempt may have run.

        Args:
            incarnation: The replica.
            may_run_again: Whether the fault lay behind it.
        """
        self._may_run_again[incarnation] = may_run_again

    def allowed(self, most: int, is_gone: Callable[[Incarnation], bool]) -> frozenset[str] | None:
        """Return the ids of the first replicas that a further send may use; `None` for any.

        Args:
            most: Replicas that may run one attempt.
            is_gone: Tells whether a replica has ended or is out of reach; it no longer counts.
        """
        living = [incarnation for incarnation in self._may_run_again if not is_gone(incarnation)]
        if len(living) < most:
            return None
        return frozenset(key[0] for key in living if self._may_run_again[key])
