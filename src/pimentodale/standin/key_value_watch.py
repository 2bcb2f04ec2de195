"""Watches of the stand-in key-value service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado.iostream import StreamClosedError

from pimentodale.clients.etcd_messages import WatchLine, WatchRequest, WatchResponse
from pimentodale.clock import MS_PER_S
from pimentodale.standin.key_value_part import KeyValueHandler

if TYPE_CHECKING:
    from pimentodale.clients.etcd_messages import Header


class WatchHandler(KeyValueHandler):
    """`/v3/watch`: newline-delimited JSON until either side closes."""

    _task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        """Report changes for as long as the caller listens."""
        part = self.part
        part.calls.watch += 1
        request = self.read(WatchRequest)
        if request is None or not await self.begin(write=False):
            return
        part.calls.watches_open += 1
        self._task = asyncio.current_task()
        try:
            await self._report(request)
        except (StreamClosedError, asyncio.CancelledError):
            return
        finally:
            part.calls.watches_open -= 1

    def on_connection_close(self) -> None:
        """End the watch as soon as its caller goes."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()

    async def _report(self, request: WatchRequest) -> None:
        """Send the first line, then every change."""
        part = self.part
        wanted = request.create_request
        epoch = part.epoch
        start = int(wanted.start_revision) or part.state.revision + 1
        await self._line(WatchResponse(self._header(), created=True))
        if start <= part.state.compact_revision:
            oldest = str(part.state.compact_revision + 1)
            await self._line(WatchResponse(self._header(), canceled=True, compact_revision=oldest))
            return
        while part.epoch == epoch and not part.faults.down:
            changed = part.changed
            events = part.state.events_from(start, wanted.key, wanted.range_end)
            start = max(start, part.state.revision + 1)
            if events:
                await self._line(WatchResponse(self._header(), events=events))
            if changed is not part.changed:
                continue
            await self._wait(changed, wanted.progress_notify)
        if await self.meet_outage(part.faults):
            self.reset_connection()

    async def _wait(self, changed: asyncio.Event, progress: bool) -> None:
        """Wait for a change; report the revision when the watch has been quiet for long."""
        try:
            interval_s = self.part.settings.progress_interval_ms / MS_PER_S
            await asyncio.wait_for(changed.wait(), interval_s)
        except TimeoutError:
            if progress and not self.part.faults.down:
                await self._line(WatchResponse(self._header()))

    async def _line(self, response: WatchResponse) -> None:
        """Send one line."""
        text = msgspec.json.encode(WatchLine(response)) + b"\n"
        self.part.calls.reply_bytes += len(text)
        self.write(text)
        await self.flush()

    def _header(self) -> Header:
        """Return the header of a line sent now."""
        return self.part.state.header()
