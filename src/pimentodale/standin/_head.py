"""The head's drive of a stream: stages opened, one token after the other, stages closed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError
from pimentodale.clients.engine_messages import EngineCall, EngineRefusal, StageReceipt
from pimentodale.clock import MS_PER_S
from pimentodale.standin._engine_links import (
    Activation,
    CloseStream,
    OpenStream,
    StreamOpened,
    TokenDone,
    link_address,
)
from pimentodale.standin.reference_text import first_activation, token_of

if TYPE_CHECKING:
    from pimentodale.addresses import Address
    from pimentodale.standin._engine_core import Engine
    from pimentodale.standin._stage import StageStream

_OPEN_TIMEOUT_MS: Final = 1500.0
"""Longest wait for all stages to take a stream."""


class StageLostError(Exception):
    """A stage of the stream was lost; its argument is the replica's name."""


class StreamCancelledError(Exception):
    """The caller or a cancel call ended the stream."""


class Token(msgspec.Struct, frozen=True):
    """One token with the stages that ran it."""

    index: int
    """Place in the whole answer."""

    text: str
    """The token."""

    receipt: list[StageReceipt]
    """Stages in the order that they ran."""


@dataclass(slots=True)
class HeadStream:
    """A stream that this engine leads."""

    stream_id: str
    call: EngineCall
    prompt: str
    tokens: list[str]
    """The answer so far."""

    stage: StageStream | None = None
    """The head's own part."""

    unopened: set[int] = field(default_factory=set)
    """Positions that have not answered yet."""

    opened: asyncio.Future[EngineRefusal | None] | None = None
    """Done when every stage has answered."""

    passing: asyncio.Future[tuple[int, list[StageReceipt]]] | None = None
    """The token that is under way."""

    lost: Exception | None = None
    """Why the stream can't go on."""

    def fail(self, error: Exception) -> None:
        """End the stream with an error, also for whoever waits for its next token."""
        self.lost = self.lost or error
        if self.passing is not None and not self.passing.done():
            self.passing.set_exception(self.lost)
        if self.opened is not None and not self.opened.done():
            self.opened.set_exception(self.lost)


class Heads:
    """The streams that an engine leads."""

    __slots__ = ("_engine", "_sequence", "streams")

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._sequence = 0
        self.streams: dict[str, HeadStream] = {}
        """Streams by id."""

    async def open(
        self, call: EngineCall, prompt: str, idempotency_key: str
    ) -> Result[HeadStream, EngineRefusal]:
        """Take a stream at every stage of its route.

        Args:
            call: What the router asked for.
            prompt: The prompt text.
            idempotency_key: The caller's key; empty for none.

        Returns:
            The stream, or the first stage's refusal; nothing has run then.
        """
        self._sequence += 1
        stream_id = f"{self._engine.boot_id}-{self._sequence}"
        stream = HeadStream(stream_id, call, prompt, list(call.resume_tokens))
        asked = OpenStream(
            stream_id=stream_id,
            request_id=call.request_id,
            attempt=call.attempt,
            workspace=call.workspace,
            idempotency_key=idempotency_key,
            priority=call.priority,
            prompt=prompt,
            route=call.route,
            position=0,
            first_index=len(call.resume_tokens),
            kv_source=call.kv_source,
        )
        own = await self._engine.stage.open(asked, 0)
        if own.is_error():
            return Error(own.error)
        stream.stage = own.ok
        self.streams[stream_id] = stream
        refusal = await self._open_later_stages(stream, asked)
        if refusal is not None:
            self.close(stream, "refused")
            return Error(refusal)
        return Ok(stream)

    async def next_token(self, stream: HeadStream) -> Token:
        """Run the next token through every stage.

        Raises:
            StageLostError: If a stage was lost.
            StreamCancelledError: If the stream was cancelled.
        """
        if stream.lost is not None:
            raise stream.lost
        assert stream.stage is not None
        index = len(stream.tokens)
        stream.passing = asyncio.get_running_loop().create_future()
        activation = first_activation(stream.prompt, stream.tokens)

        def hand_on(after: int, receipts: list[StageReceipt]) -> None:
            self._engine.hand_on(stream.stream_id, index, after, receipts)

        self._engine.stage.run(stream.stage, index, activation, hand_on)
        try:
            after, receipts = await stream.passing
        finally:
            stream.passing = None
        text = token_of(after)
        stream.tokens.append(text)
        return Token(index, text, receipts)

    def close(self, stream: HeadStream, reason: str) -> None:
        """End a stream at every stage."""
        if self.streams.pop(stream.stream_id, None) is None:
            return
        self._engine.stage.close(stream.stream_id, reason)
        for hop in stream.call.route[1:]:
            address = _link_or_none(hop.address)
            if address is not None and address != _lost_address(stream):
                self._engine.links.send(address, CloseStream(stream.stream_id, reason))

    def take_opened(self, message: StreamOpened) -> None:
        """Take a stage's answer to `OpenStream`."""
        stream = self.streams.get(message.stream_id)
        if stream is None or stream.opened is None or stream.opened.done():
            return
        if message.refusal is not None:
            stream.opened.set_result(message.refusal)
            return
        stream.unopened.discard(message.position)
        if not stream.unopened:
            stream.opened.set_result(None)

    def take_token(self, message: TokenDone) -> None:
        """Take a token's last state."""
        stream = self.streams.get(message.stream_id)
        if stream is None or stream.passing is None or stream.passing.done():
            return
        if message.index == len(stream.tokens):
            stream.passing.set_result((message.activation, message.receipts))

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Cancel a request's streams; returns whether there were any."""
        found = False
        for stream in list(self.streams.values()):
            if stream.call.request_id != request_id or stream.call.attempt != attempt:
                continue
            stream.fail(StreamCancelledError())
            self.close(stream, "cancelled")
            found = True
        return found

    def lose_link(self, address: Address) -> None:
        """End the streams that have a stage behind a link that was lost."""
        for stream in list(self.streams.values()):
            for hop in stream.call.route[1:]:
                if _link_or_none(hop.address) == address:
                    stream.fail(StageLostError(hop.replica))
                    break

    def clear(self) -> None:
        """Forget everything, as a crash does."""
        streams = list(self.streams.values())
        self.streams.clear()
        for stream in streams:
            stream.fail(StreamCancelledError())

    async def _open_later_stages(
        self, stream: HeadStream, asked: OpenStream
    ) -> EngineRefusal | None:
        """Ask each later stage for a slot and return the first refusal."""
        later = range(1, len(stream.call.route))
        if not later:
            return None
        stream.unopened = set(later)
        stream.opened = asyncio.get_running_loop().create_future()
        for position in later:
            try:
                address = link_address(stream.call.route[position].address)
            except BadAddressError as error:
                return EngineRefusal(mismatch=str(error))
            question = msgspec.structs.replace(asked, position=position)
            self._engine.links.send(address, question, len(asked.prompt))
        try:
            return await asyncio.wait_for(stream.opened, _OPEN_TIMEOUT_MS / MS_PER_S)
        except TimeoutError:
            silent = stream.call.route[min(stream.unopened)].replica
            return EngineRefusal(stage_lost=silent)
        except StageLostError as error:
            return EngineRefusal(stage_lost=str(error))
        except StreamCancelledError:
            return EngineRefusal(leaving=self._engine.settings.replica)


def activation_message(
    stream_id: str, index: int, activation: int, receipts: list[StageReceipt], size_bytes: int
) -> Activation:
    """Return the message that hands a token on, filled up to the size of real activations."""
    return Activation(stream_id, index, activation, receipts, bytes(size_bytes))


def _link_or_none(http_address: str) -> Address | None:
    """Return a hop's link address, or `None` when its address is malformed."""
    try:
        return link_address(http_address)
    except BadAddressError:
        return None


def _lost_address(stream: HeadStream) -> Address | None:
    """Return the link address of the stage that was lost, if one was."""
    if not isinstance(stream.lost, StageLostError):
        return None
    for hop in stream.call.route:
        if hop.replica == str(stream.lost):
            return _link_or_none(hop.address)
    return None
