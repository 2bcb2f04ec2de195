"""Translates headers of the platform to the router's requests and answers, and back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.retry_after import RETRY_AFTER, read_retry_after_ms
from pimentodale.forwarding.messages import BackendAnswer, ClientRequest, RefusalReason
from pimentodale.platform.engine_client import EXPECT_REPLICA, FAULTY_ADDRESS, format_path
from pimentodale.platform.leaving_signal import LEAVING, is_leaving_signal

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from pimentodale.placement.messages import PathPart

READY_PATH: Final = "/api/ready"
"""Path of the readiness check of the platform's load balancer."""

ATTEMPT_ID: Final = "Pimentodale-Attempt-Id"
DEADLINE: Final = "Pimentodale-Deadline-Ms"
STAMP: Final = "Pimentodale-Replica-Stamp"
NOT_RUN: Final = "Pimentodale-Not-Executed"
WORKSPACE: Final = "Pimentodale-Tenant"
# Carries the replicas of a pipeline and their layers, despite the header's name.
PATH: Final = "Pimentodale-Hop-Count"
# Number of prompt tokens and maximum number of answer tokens, separated by a comma.
TOKEN_COUNT: Final = "Pimentodale-Token-Count"
# The client's estimate of the number of answer tokens.
LENGTH_HINT: Final = "Pimentodale-Length-Hint"
# Parts of the prompt in order, as ID:TOKENS entries separated by commas.
PROMPT_PARTS: Final = "Pimentodale-Prompt-Prefix"
MAX_PROMPT_PARTS: Final = 64
"""Maximum number of parts of a prompt that are told apart."""

MAX_PART_ID_LENGTH: Final = 64
"""Maximum length of a part's id; longer ones are cut."""

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
"""Hop-by-hop headers, and headers that are generated for each connection."""

_RESERVED_HEADERS: Final = frozenset((DEADLINE, WORKSPACE, PATH, EXPECT_REPLICA, "Authorization"))
"""Headers of clients that are not forwarded: the gateway sets them itself or withholds them."""

_NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
"""Statuses by which a replica claims that the request has not run."""


_EVENT_STREAM: Final = "text/event-stream"


def decode_request(method: str, path: str, headers: HTTPHeaders) -> ClientRequest:
    """Translate the header of a client's request.

    Args:
        method: HTTP method.
        path: Path with its query.
        headers: The client's headers.

    Returns:
        The request without its body.
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
        deadline_ms=_parse_number(headers.get(DEADLINE, "")),
        prompt_tokens=_parse_number(prompt) or 0.0,
        max_answer_tokens=_parse_number(answer) or 0.0,
        length_hint_tokens=_parse_number(headers.get(LENGTH_HINT, "")),
        last_event_id=headers.get(LAST_EVENT_ID),
        prompt_parts=_shared_parts(headers.get(PROMPT_PARTS, "")),
        headers=[
            (name, value)
            for name, value in headers.get_all()
            if name not in _CONNECTION_HEADERS and name not in _RESERVED_HEADERS
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
    """Return the headers to send to a replica.

    Args:
        request: The client's request.
        workspace: Workspace that holds the client's key; `None` on a public route.
        left_ms: Time until the client's deadline; `None` without one.
        replica_id: Id of the replica that the request is meant for.
        path: Replicas of the pipeline; empty for a single replica.
        last_event_id: Id of the event after which a stream resumes.
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
        attempt_id: Attempt id of the request, to detect an answer to another attempt.
    """
    echoed = headers.get(ATTEMPT_ID)
    is_mismatched = echoed is not None and echoed != attempt_id
    return BackendAnswer(
        status=status,
        # What another attempt was refused for says nothing of whether this one runs.
        refused=None if is_mismatched else _decode_refusal(status, headers),
        faulty_address=headers.get(FAULTY_ADDRESS, ""),
        is_stamped=STAMP in headers,
        is_mismatched=is_mismatched,
        is_encoded="Content-Encoding" in headers,
        claims_not_run=status in _NOT_RUN_STATUSES,
        is_event_stream=headers.get("Content-Type", "").lower().startswith(_EVENT_STREAM),
        is_leaving=is_leaving_signal(headers.get(LEAVING)),
        hold_off_ms=read_retry_after_ms(headers.get(RETRY_AFTER)) if status == 503 else None,
        headers=[
            (name, value) for name, value in headers.get_all() if name not in _CONNECTION_HEADERS
        ],
    )


def _decode_refusal(status: int, headers: HTTPHeaders) -> RefusalReason | None:
    """Return why an answer says that its request was not run; `None` if it does not say so."""
    if status == 421:
        return RefusalReason.WRONG_REPLICA
    return RefusalReason.NO_ROOM if NOT_RUN in headers else None


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which is the request's own."""
    entries = text.split(",")[:-1][:MAX_PROMPT_PARTS]
    ids = (entry.partition(":")[0].strip().lower()[:MAX_PART_ID_LENGTH] for entry in entries)
    return tuple(dict.fromkeys(part_id for part_id in ids if part_id))


def _parse_number(text: str) -> float | None:
    """Parse a number from 0 to below 1e12; return `None` for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None
