"""Relays in front of nodes that simulate partitions and the TCP delays of a lossy network.

They run on a thread of the scenario's own process. A connection of which a partition has dropped
bytes stays silent, also after the partition has healed.
"""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

CHUNK_BYTES: Final = 64 * 1024
RETRANSMISSION_S: Final = 0.2


class DomainRelay:
    """Holds all relays of one site."""

    def __init__(self, rng: random.Random) -> None:
        self.cut_pairs: set[tuple[str, int]] = set()
        self.loss = 0.0
        self._rng = rng
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add_relay(self, listen_ip: str, target_ip: str, port: int, number: int) -> None:
        """Relay `listen_ip` to node `number` at `target_ip`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, target_ip, port, number)

        starting = asyncio.start_server(serve, listen_ip, port)
        asyncio.run_coroutine_threadsafe(starting, self._loop).result(5)

    def cut(self, pairs: set[tuple[str, int]]) -> None:
        """Drop the traffic between exactly these source addresses and nodes."""
        self.cut_pairs = pairs

    def stop(self) -> None:
        """End the thread and drop every connection."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _cancel_all(self) -> None:
        """Cancel every relayed connection."""
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_ip: str,
        port: int,
        number: int,
    ) -> None:
        """Relay one connection."""
        pair = (writer.get_extra_info("peername")[0], number)
        far_writer: asyncio.StreamWriter | None = None
        try:
            if pair in self.cut_pairs:
                await self._discard(reader)
                return
            far_reader, far_writer = await asyncio.open_connection(target_ip, port)
            await asyncio.gather(
                self._forward(pair, reader, far_writer), self._forward(pair, far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            # Cancelled only at the end of the scenario; asyncio would log it as a failure.
            return
        finally:
            writer.close()
            if far_writer is not None:
                far_writer.close()

    async def _forward(
        self, pair: tuple[str, int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes in one direction until the stream ends or its path is cut."""
        while chunk := await reader.read(CHUNK_BYTES):
            if pair in self.cut_pairs:
                await self._discard(reader)
                await asyncio.Event().wait()
            await asyncio.sleep(self._choose_stall_s())
            writer.write(chunk)
            await writer.drain()
        if pair in self.cut_pairs:
            await asyncio.Event().wait()
        writer.close()

    def _choose_stall_s(self) -> float:
        """Return the delay of one chunk; each simulated loss costs one retransmission."""
        stall_s = 0.0
        while self._rng.random() < self.loss:
            stall_s += RETRANSMISSION_S
        return stall_s

    async def _discard(self, reader: asyncio.StreamReader) -> None:
        """Read and discard bytes until the stream ends."""
        while await reader.read(CHUNK_BYTES):
            continue
