"""What the rest of the project asks of the ledger, whichever way the claims are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from expression import Result

    from pimentodale.ledger.records import Claim, ClaimRecord, ClaimRequest, Outcome
    from pimentodale.results import Refusal


class Ledger(Protocol):
    """Claims and outcomes of non-repeatable work. Every call is bounded in time."""

    async def claim(self, request: ClaimRequest) -> Result[Claim | Outcome, Refusal]:
        """Ask for the right to run the work.

        Returns:
            A claim when the caller may go on, the kept outcome when the work has ended before, or
            the refusal to answer with.
        """

    async def confirm(self, claim: Claim) -> Result[None, Refusal]:
        """Look at the clock and the claim right before the first byte of the work.

        Returns:
            Ok when the byte may go out at once; else the refusal to answer with, and nothing may
            go out.
        """

    async def finish(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Keep the outcome; `None` says that the work may have run and its end is unknown.

        Returns:
            Whether it is stored. When it is not yet, the ledger goes on trying for a while.
        """

    async def begin_release(self, claim: Claim) -> bool:
        """Mark a claim under which no byte went out; it keeps the key until `release`.

        Another attempt under the key waits for the `release` for a short while.

        Returns:
            Whether the mark is stored. The claim keeps the key either way.
        """

    async def release(self, claim: Claim) -> bool:
        """Give a claim back under which no byte went out, so that a re-send may claim anew.

        Returns:
            Whether it is given back. When it is not yet, the ledger goes on trying for a while.
        """

    async def lookup(
        self, workspace: str, idempotency_key: str
    ) -> Result[ClaimRecord | None, Refusal]:
        """Read what stands under a key, without claiming it."""

    async def flush(self, timeout_ms: float) -> int:
        """Wait until every finish and release in progress is stored.

        Returns:
            How many were still in progress at the time-out.
        """
