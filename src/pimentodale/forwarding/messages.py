"""Requests and responses as forwarding sees them, independent of the header names on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from pimentodale.placement.messages import PathPart


@dataclass(slots=True)
class ClientRequest:
    """A request from a client."""

    method: str
    """HTTP method."""

    path: str
    """Request path, including the query."""

    host: str
    """Host name from the request, in lower case."""

    attempt_id: str
    """Id of this attempt of the client."""

    api_key: str
    """The client's API key; empty if there is none."""

    deadline_ms: float | None
    """How long the client waits."""

    prompt_tokens: float
    """Number of prompt tokens; 0 if not declared."""

    max_answer_tokens: float
    """Maximum number of tokens in the response; 0 if not declared."""

    length_hint_tokens: float | None
    """The client's estimate of the number of tokens in the response."""

    last_event_id: str | None
    """Id of the event after which the client wants its stream to resume."""

    headers: list[tuple[str, str]]
    """Headers that are forwarded."""

    body: bytes = b""
    """The request body."""

    received_ms: float = 0.0
    """When the header arrived, by the host's clock."""

    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt that other requests may have too, in order."""


class RefusalReason(Enum):
    """Why a replica did not run a request."""

    NO_ROOM = "no room"
    """The replica, or another one on the path, is full or shutting down."""

    WRONG_REPLICA = "wrong replica"
    """The address belongs to another replica, or the replica does not hold the layers."""


@dataclass(slots=True)
class BackendAnswer:
    """The header of a replica's response."""

    status: int
    """HTTP status."""

    refused: RefusalReason | None
    """Why the replica did not run this request; `None` unless it says that it did not."""

    faulty_address: str
    """`IP:PORT` of the replica at fault; empty if it is not named."""

    is_stamped: bool
    """Whether the response has the header by which replicas mark their own responses."""

    is_mismatched: bool
    """Whether the response belongs to another request."""

    is_encoded: bool
    """Whether the body has a content encoding, which replicas never apply themselves."""

    claims_not_run: bool
    """Whether a client would conclude from the status alone that the request did not run."""

    headers: list[tuple[str, str]] = field(default_factory=list)
    """Headers that are forwarded."""

    is_leaving: bool = False
    """Whether the replica announces that it is shutting down."""

    is_event_stream: bool = False
    """Whether the body is declared as a stream of events."""

    hold_off_ms: float | None = None
    """How long this host must send the replica no requests; `None` if it does not say."""

    @property
    def is_success(self) -> bool:
        """Whether this is a successful response that may be forwarded."""
        return 200 <= self.status < 300 and self.is_genuine

    @property
    def is_genuine(self) -> bool:
        """Whether this is the replica's own response to this request."""
        return self.is_stamped and not self.is_mismatched and not self.is_encoded


class ExchangeCodec(Protocol):
    """Translates between wire headers and the types above; implemented by an adapter."""

    READY_PATH: str

    def decode_request(self, method: str, path: str, headers: HTTPHeaders) -> ClientRequest:
        """Decode a client request."""

    def encode_request(
        self,
        request: ClientRequest,
        workspace: str | None,
        left_ms: float | None,
        replica_id: str,
        path: tuple[PathPart, ...],
        last_event_id: str | None,
    ) -> dict[str, str]:
        """Return the headers of the request to a replica."""

    def decode_answer(self, status: int, headers: HTTPHeaders, attempt_id: str) -> BackendAnswer:
        """Decode the header of a replica's response."""
