"""Requests and answers as forwarding sees them, without the names of any wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from pimentodale.placement.messages import PathPart


@dataclass(slots=True)
class ClientRequest:
    """A request of a client."""

    method: str
    """HTTP method."""

    path: str
    """Path with its query."""

    host: str
    """Host name that it is addressed to, in lower case."""

    attempt_id: str
    """Identity of this attempt of the client."""

    api_key: str
    """The client's key; empty for none."""

    deadline_ms: float | None
    """How long the client waits."""

    prompt_tokens: float
    """Tokens of the prompt; 0 where none are declared."""

    max_answer_tokens: float
    """Most tokens of the answer; 0 where none are declared."""

    length_hint_tokens: float | None
    """The client's estimate of the answer's tokens."""

    last_event_id: str | None
    """Event after which the client wants its stream to go on."""

    headers: list[tuple[str, str]]
    """Headers that are passed on."""

    body: bytes = b""
    """Its body."""

    received_ms: float = 0.0
    """When its header arrived, by the host's clock."""


class Refused(Enum):
    """Why a replica did not run a request."""

    NO_ROOM = "no room"
    """It is full or leaving, or another part of the path is."""

    WRONG_REPLICA = "wrong replica"
    """Another replica has the address, or it doesn't hold the layers."""


@dataclass(slots=True)
class BackendAnswer:
    """The header of a replica's answer."""

    status: int
    """HTTP status."""

    refused: Refused | None
    """Set when the replica says that it has not run the request."""

    faulty_address: str
    """`IP:PORT` of the replica at fault; empty where it isn't named."""

    is_stamped: bool
    """Whether it carries a replica's signature."""

    is_foreign: bool
    """Whether it belongs to another request."""

    is_encoded: bool
    """Whether the body is encoded, so that it isn't the replica's own."""

    claims_not_run: bool
    """Whether the status alone would tell a client that nothing ran."""

    headers: list[tuple[str, str]] = field(default_factory=list)
    """Headers that are passed on."""

    is_leaving: bool = False
    """Whether the replica says that it leaves."""

    hold_off_ms: float | None = None
    """How long the replica wants nothing more from this host; `None` where it doesn't say."""

    @property
    def is_success(self) -> bool:
        """Whether it is a success that may be passed on."""
        return 200 <= self.status < 300 and self.is_genuine

    @property
    def is_genuine(self) -> bool:
        """Whether it is the replica's own answer to this request."""
        return self.is_stamped and not self.is_foreign and not self.is_encoded


class ExchangeCodec(Protocol):
    """Translates headers between a wire and the types above; an adapter implements it."""

    READY_PATH: str

    def decode_request(self, method: str, path: str, headers: HTTPHeaders) -> ClientRequest:
        """Translate a client's request."""

    def encode_request(
        self,
        request: ClientRequest,
        workspace: str | None,
        left_ms: float | None,
        replica_id: str,
        path: tuple[PathPart, ...],
        last_event_id: str | None,
    ) -> dict[str, str]:
        """Return the headers that a replica is sent."""

    def decode_answer(self, status: int, headers: HTTPHeaders, attempt_id: str) -> BackendAnswer:
        """Translate the header of a replica's answer."""
