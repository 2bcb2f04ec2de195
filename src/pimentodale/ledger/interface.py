"""Interface of the ledger, independent of how claims are stored."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from expression import Result

    from pimentodale.ledger.records import Claim, ClaimRecord, ClaimRequest, Outcome
    from pimentodale.results import Refusal


class Ledger(Protocol):
    """Claims and outcomes of non-repeatable work. Every call has a time limit."""

    async def claim(self, request: ClaimRequest) -> Result[Claim | Outcome, Refusal]:
        """Claim the right to run the work.

        Returns:
            A claim if the caller may proceed, the stored outcome if the work has already finished,
            or the refusal to answer with.
        """

    async def confirm(self, claim: Claim) -> Result[None, Refusal]:
        """Check the deadline and the claim immediately before the first byte of the work is sent.

        Returns:
            Ok if the byte may be sent at once; otherwise the refusal to answer with, and nothing
            may be sent.
        """

    async def finish(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Store the outcome; `None` means that the work may have run and its outcome is unknown.

        Returns:
            Whether it is stored. If not, the ledger keeps retrying for a limited time.
        """

    async def begin_release(self, claim: Claim) -> bool:
        """Mark a claim as released if nothing was sent; it holds the key until `release`.

        Another attempt under the key waits a short time for the `release`.

        Returns:
            Whether the mark is stored. The claim holds the key either way.
        """

    async def release(self, claim: Claim) -> bool:
        """Release a claim under which nothing was sent, so that a retry can claim the key again.

        Returns:
            Whether it is released. If not, the ledger keeps retrying for a limited time.
        """

    async def lookup(
        self, workspace: str, idempotency_key: str
    ) -> Result[ClaimRecord | None, Refusal]:
        """Read the record of a key without claiming it."""

    async def flush(self, timeout_ms: float) -> int:
        """Wait until all pending finishes and releases are stored.

        Returns:
            How many were still pending at the timeout.
        """
