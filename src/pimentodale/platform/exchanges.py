"""Headers of requests and answers, translated both ways."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.retry_after import RETRY_AFTER, read_retry_after_ms
from pimentodale.forwarding.messages import BackendAnswer, ClientRequest, RefusalReason
from pimentodale.platform.engines import EXPECT_REPLICA, format_path
from pimentodale.platform.signs import LEAVING, says_leaving

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from pimentodale.placement.messages import PathPart

READY_PATH: Final = "/api/ready"
"""Path that the platform's balancer asks."""

ATTEMPT_ID: Final = "Pimentodale-Attempt-Id"
DEADLINE: Final = "Pimentodale-Deadline-Ms"
STAMP: Final = "Pimentodale-Replica-Stamp"
NOT_RUN: Final = "Pimentodale-Not-Executed"
WORKSPACE: Final = "Pimentodale-Tenant"
PATH: Final = "Pimentodale-Hop-Count"
FAULTY_ADDRESS: Final = "At-Server"
TOKEN_COUNT: Final = "Pimentodale-Token-Count"
LENGTH_HINT: Final = "Pimentodale-Length-Hint"
LAST_EVENT_ID: Final = "Last-Event-Id"

_CONNECTION_HEADERS: Final = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    )
)
"""Headers that concern one connection, or that are written anew."""

_OWN_HEADERS: Final = frozenset((DEADLINE, WORKSPACE, PATH, EXPECT_REPLICA, "Authorization"))
"""Headers that the system sets itself, or keeps back."""

_REFUSALS: Final = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""


def decode_request(method: str, path: str, headers: HTTPHeaders) -> ClientRequest:
    """Translate a client's request; its body follows.

    Args:
        method: HTTP method.
        path: Path with its query.
        headers: The client's headers.
    """
    authorization = headers.get("Authorization", "")
    scheme, _, key = authorization.partition(" ")
    prompt, _, answer = headers.get(TOKEN_COUNT, "").partition(",")
    return ClientRequest(
        method=method,
        path=path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        attempt_id=headers.get(ATTEMPT_ID, ""),
        api_key=key.strip() if scheme.lower() == "bearer" else "",
        deadline_ms=_number(headers.get(DEADLINE, "")),
        prompt_tokens=_number(prompt) or 0.0,
        max_answer_tokens=_number(answer) or 0.0,
        length_hint_tokens=_number(headers.get(LENGTH_HINT, "")),
        last_event_id=headers.get(LAST_EVENT_ID),
        headers=[
            (name, value)
            for name, value in headers.get_all()
            if name not in _CONNECTION_HEADERS and name not in _OWN_HEADERS
        ],
    )


def encode_request(
    request: ClientRequest,
    workspace: str | None,
    left_ms: float | None,
    replica_id: str,
    path: tuple[PathPart, ...],
    last_event_id: str | None,
) -> dict[str, str]:
    """Return the headers that a replica is sent.

    Args:
        request: The client's request.
        workspace: Workspace that holds the client's key; `None` on a public route.
        left_ms: Time that the client still waits.
        replica_id: The replica that is meant.
        path: Replicas that the request passes through; empty for one alone.
        last_event_id: Event after which a stream goes on.
    """
    headers: dict[str, str] = {}
    for name, value in request.headers:
        headers[name] = f"{headers[name]},{value}" if name in headers else value
    headers[EXPECT_REPLICA] = replica_id
    if left_ms is not None:
        headers[DEADLINE] = str(max(1, int(left_ms)))
    if workspace is not None:
        headers[WORKSPACE] = workspace
    if path:
        headers[PATH] = format_path(path)
    if last_event_id is not None:
        headers[LAST_EVENT_ID] = last_event_id
    return headers


def decode_answer(status: int, headers: HTTPHeaders, attempt_id: str) -> BackendAnswer:
    """Translate the header of a replica's answer.

    Args:
        status: HTTP status.
        headers: The replica's headers.
        attempt_id: Attempt that the request carried; an answer to another one is foreign.
    """
    echoed = headers.get(ATTEMPT_ID)
    refused = None
    if status == 421:
        refused = RefusalReason.WRONG_REPLICA
    elif NOT_RUN in headers:
        refused = RefusalReason.NO_ROOM
    return BackendAnswer(
        status=status,
        refused=refused,
        faulty_address=headers.get(FAULTY_ADDRESS, ""),
        is_stamped=STAMP in headers,
        is_mismatched=echoed is not None and echoed != attempt_id,
        is_encoded="Content-Encoding" in headers,
        claims_not_run=status in _REFUSALS,
        is_leaving=says_leaving(headers.get(LEAVING)),
        hold_off_ms=read_retry_after_ms(headers.get(RETRY_AFTER)) if status == 503 else None,
        headers=[
            (name, value) for name, value in headers.get_all() if name not in _CONNECTION_HEADERS
        ],
    )


def _number(text: str) -> float | None:
    """Parse a number; `None` where there is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None
