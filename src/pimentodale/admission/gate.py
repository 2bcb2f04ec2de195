"""Admission control of one entry host: one admission per model, with common workspace rates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Result

from pimentodale.admission.admission import AdmissionLimits, create_admission
from pimentodale.admission.rate_shares import create_rate_shares
from pimentodale.admission.route_pool import create_route_pool
from pimentodale.results import Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.admission.admission import Admission, Permit
    from pimentodale.admission.rate_shares import RateShares
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration, Model
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.router import Router

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""Retry delay for a caller that was rejected because there was no route."""


class Gate:
    """Admits generations of all models."""

    __slots__ = ("_admissions", "_clock", "_configuration", "_limits", "_router", "rates")

    rates: RateShares
    """This host's shares of the workspaces' rates."""

    def __init__(
        self,
        clock: Clock,
        router: Router,
        rates: RateShares,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._router = router
        self._configuration = configuration
        self._limits = AdmissionLimits(
            queue_requests=lambda: configuration().limits.queue_requests,
            weight_of=self._weight_of,
            rate_per_s_of=self._rate_per_s_of,
        )
        self._admissions: dict[Model, Admission[RouteUse]] = {}
        self.rates = rates

    async def admit(
        self, model: Model, workspace: str, tokens: int, deadline_ms: float, prefix_hash: str
    ) -> Result[Permit[RouteUse], Refusal]:
        """Wait for a route with free capacity.

        Args:
            model: The model.
            workspace: Workspace that the generation belongs to.
            tokens: Maximum length of the answer, which is the generation's cost.
            deadline_ms: Clock reading by which it has to end.
            prefix_hash: Hash of the prompt's prefix; empty if it has none.

        Returns:
            The permit, which must be released; or a refusal, in which case nothing has run.
        """
        if not self._router.has_route(model.name, model.layers):
            return Error(_no_route(model, self._router.held_off_ms(model.name)))
        admission = self._admission_of(model)
        return await admission.admit(workspace, float(tokens), deadline_ms, hint=prefix_hash)

    def wake(self) -> None:
        """Start queued generations that there may be capacity for, as after a load report."""
        for admission in self._admissions.values():
            admission.wake()

    def waiting(self) -> int:
        """Return the number of queued generations."""
        return sum(admission.waiting for admission in self._admissions.values())

    def _admission_of(self, model: Model) -> Admission[RouteUse]:
        """Return a model's admission; a changed model gets a new one while the old one drains."""
        admission = self._admissions.get(model)
        if admission is not None:
            return admission
        for known, idle in list(self._admissions.items()):
            if known.name == model.name and idle.waiting == 0:
                del self._admissions[known]
        pool = create_route_pool(self._router, model.name, model.layers)
        admission = create_admission(self._clock, pool, self._limits, self.rates)
        self._admissions[model] = admission
        return admission

    def _weight_of(self, workspace: str) -> float:
        """Return a workspace's share from the configuration."""
        known = self._configuration().workspaces.get(workspace)
        return 1.0 if known is None else known.share

    def _rate_per_s_of(self, workspace: str) -> float | None:
        """Return a workspace's rate from the configuration."""
        known = self._configuration().workspaces.get(workspace)
        return None if known is None else known.rate_requests_per_s


def create_gate(
    clock: Clock, router: Router, own_host: str, configuration: Callable[[], Configuration]
) -> Gate:
    """Create the gate of one entry host.

    Args:
        clock: Tells the time.
        router: Chooses routes.
        own_host: Name of this host.
        configuration: Returns the active configuration.

    Returns:
        The gate.
    """
    return Gate(clock, router, create_rate_shares(clock, own_host), configuration)


def _no_route(model: Model, held_off_ms: float) -> Refusal:
    """Refuse because there is no route; a retry delay requested by engines takes precedence."""
    message = f"No live backend servers hold every layer of {model.name} now; come back later."
    retry_after_ms = held_off_ms or NO_ROUTE_RETRY_MS
    return create_refusal(ResultCode.NO_ROUTE, message, retry_after_ms=retry_after_ms)
