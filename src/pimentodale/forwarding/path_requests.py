"""Builds a stream's request for the path of its next send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.path_queue import PathRequest
from pimentodale.forwarding.path_selection import choose_path, covers_model

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest
    from pimentodale.forwarding.stream_state import StreamState

HOLD_OFF_WAIT_MS: Final = 300.0
"""Longest wait for the end of the replicas' hold-offs: only one request is sent after a hold-off at
first, so most waiting requests would be refused anyway."""


def create_path_request(
    ctx: ForwardingContext,
    routed: RoutedRequest,
    state: StreamState,
    heads: frozenset[str] | None,
    running_on: AbstractSet[str] = frozenset(),
) -> PathRequest:
    """Return the path request of the next send of a stream.

    Args:
        ctx: State shared by all requests.
        routed: The client's request.
        state: The stream.
        heads: Ids of the replicas that may be the head; `None` for any.
        running_on: Ids of the head replicas of sends in progress, which the next one avoids.
    """
    service, tokens = routed.service, state.tokens
    avoid = state.avoid.difference(heads or ()) | running_on
    engine = service.engine
    usual = tokens if engine is None else engine.mean_prompt_tokens + engine.mean_answer_tokens
    return PathRequest(
        workspace=routed.workspace or "",
        rank=0 if routed.exchange.is_begun else routed.priority + 1,
        tokens=tokens,
        usual_tokens=usual,
        is_begun=routed.exchange.is_begun,
        find=lambda: choose_path(
            ctx, service, tokens, avoid, heads=heads, is_begun=routed.exchange.is_begun
        ),
        is_feasible=lambda: covers_model(ctx, service, max_hold_off_ms=HOLD_OFF_WAIT_MS),
        reserve=lambda path: ctx.loads.add(path.parts, tokens),
        release=lambda path: ctx.loads.remove(path.parts, tokens),
    )
