"""Admin paths of the stand-in key-value service."""

from __future__ import annotations

from pimentodale.standin.http_parts import REFUSE_NEEDS_ADMIN, apply_outage
from pimentodale.standin.key_value_part import KeyValueFaults, KeyValueHandler


class CallsHandler(KeyValueHandler):
    """`GET /admin/calls`."""

    def get(self) -> None:
        """Answer the counts."""
        self.reply(self.part.calls)


class FaultsHandler(KeyValueHandler):
    """`/admin/faults`."""

    def get(self) -> None:
        """Answer the faults as they stand."""
        self.reply(self.part.faults)

    async def post(self) -> None:
        """Replace the faults."""
        faults = self.read(KeyValueFaults)
        if faults is None:
            return
        if faults.down_mode == "refuse" and not self.part.settings.admin_listen:
            self.refuse(400, REFUSE_NEEDS_ADMIN)
            return
        self.part.set_faults(faults)
        # The answer leaves first, as its own connection may be dropped next.
        await self.reply(faults)
        self.part.notify()
        if self.part.listener is not None:
            await apply_outage(faults, self.part.listener)


class SnapshotHandler(KeyValueHandler):
    """`POST /admin/snapshot`."""

    def post(self) -> None:
        """Keep a copy of all that is stored."""
        self.part.snapshot = self.part.state.copy()
        self.reply(self.part.snapshot.header())


class RestoreHandler(KeyValueHandler):
    """`POST /admin/restore`."""

    def post(self) -> None:
        """Bring the copy back; the revision runs backwards and watches are dropped."""
        self.part.state = self.part.snapshot.copy()
        self.part.epoch += 1
        self.part.notify()
        self.reply(self.part.state.header())
