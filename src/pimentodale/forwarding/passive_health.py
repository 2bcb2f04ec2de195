"""Passive health checks: updates beliefs about replicas from the outcome of sends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.messages import RefusalReason
from pimentodale.forwarding.stream_state import SendEnd
from pimentodale.placement.paths import kv_fill_capacity
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.forwarding.stream_state import StreamSend, StreamState
    from pimentodale.site.model import BackendService, ReplicaRecord
    from pimentodale.site.replica_health import Incarnation, ReplicaHealth

FULL_BACKOFF_MS: Final = 150.0
"""How long a replica that refused for lack of capacity gets no new requests."""

STALLED_FRACTION: Final = 0.8
"""Fraction of the engines' stall timeout from which a refusal means that the request stalled."""


def record_send_outcome(
    ctx: ForwardingContext,
    service: BackendService,
    state: StreamState,
    send: StreamSend,
    end: SendEnd,
) -> None:
    """Update what is known of the replicas of a send from its outcome.

    Args:
        ctx: State shared by all requests.
        service: The stream's service.
        state: The stream.
        send: The send.
        end: How the send ended.
    """
    if end is SendEnd.TIMED_OUT:
        return
    # The replica that ran the send, also if its record is gone or it has restarted since.
    incarnation = send.head
    if end is SendEnd.NOT_SENT:
        if record_unreachable(ctx, incarnation, send.sent_ms):
            state.avoid.add(send.head_id)
    elif end is SendEnd.BROKEN:
        ctx.replica_health.note_result(incarnation, False)
        ctx.replica_health.request_probe(incarnation)
        state.avoid.add(send.head_id)
        state.used_heads.note(incarnation, may_run_again=False)
    elif end is SendEnd.REFUSED:
        head = ctx.view.replicas.get(send.head_id)
        named = ctx.view.replicas.get(faulty_replica_id(send) or send.head_id)
        if head is not None and named is not None:
            state.avoid.add(named.replica_id)
            waited_ms = ctx.clock.now_ms() - send.active_ms
            is_stall = has_stalled(ctx, waited_ms)
            record_refusal(ctx.replica_health, head, named, has_stalled=is_stall)
            if service.engine is not None and not is_stall:
                capacity = kv_fill_capacity(service.engine, named)
                ctx.loads.note_full(named.replica_id, capacity)
    elif end is SendEnd.LOST:
        state.avoid.add(send.head_id)
        state.used_heads.note(incarnation, may_run_again=not send.is_head_at_fault)
    elif end is SendEnd.SUPERSEDED:
        # If an older send goes on, this one had too little time to show a fault.
        winner = state.relayed_from
        is_newer = winner is not None and winner.sent_ms < send.sent_ms
        is_at_fault = send.is_head_at_fault and not is_newer
        if is_at_fault:
            state.avoid.add(send.head_id)
        state.used_heads.note(incarnation, may_run_again=not is_at_fault)
    else:
        ctx.replica_health.note_result(incarnation, True)


def record_unreachable(ctx: ForwardingContext, incarnation: Incarnation, sent_ms: float) -> bool:
    """Count a replica as down that can't be connected to, unless this process itself didn't run.

    Args:
        ctx: State shared by all requests.
        incarnation: The replica.
        sent_ms: When the connection was begun.

    Returns:
        Whether it counts as down; otherwise it is probed.
    """
    if ctx.own_pauses.has_paused_since(sent_ms):
        ctx.replica_health.request_probe(incarnation)
        return False
    ctx.replica_health.mark_down(incarnation, "it can't be connected to")
    return True


def has_stalled(ctx: ForwardingContext, waited_ms: float) -> bool:
    """Whether a refusal came late enough to mean that a replica of the path stalled the request."""
    return waited_ms >= ctx.stall_ms * STALLED_FRACTION


def record_answer(ctx: ForwardingContext, replica: ReplicaRecord, answer: BackendAnswer) -> None:
    """Update what is known of a replica from the header of its response.

    Args:
        ctx: State shared by all requests.
        replica: The replica that the request was sent to.
        answer: The response header from its address.
    """
    if answer.is_mismatched or answer.refused is RefusalReason.WRONG_REPLICA:
        # It answers another request, or the address now belongs to another replica, so the header
        # says nothing about this one.
        return
    if answer.is_leaving:
        ctx.view.note_leaving(replica)
    incarnation = incarnation_of(replica)
    if answer.hold_off_ms is not None:
        ctx.replica_health.hold_offs.hold(incarnation, answer.hold_off_ms)
    else:
        ctx.replica_health.hold_offs.note_accepted(incarnation)


def record_refusal(
    replica_health: ReplicaHealth, head: ReplicaRecord, named: ReplicaRecord, *, has_stalled: bool
) -> None:
    """Update the beliefs about the replica that a refusal names.

    A head replica that cannot reach another one refuses immediately, with the same response as if
    that one lacked capacity.

    Args:
        replica_health: This host's beliefs.
        head: The head replica of the path.
        named: The replica that the refusal names; the head if it names none.
        has_stalled: Whether the refusal came only after the engines' stall timeout.
    """
    incarnation = incarnation_of(named)
    if has_stalled:
        replica_health.mark_suspect(incarnation, "requests stalled on it")
        return
    replica_health.exclude_for(incarnation, FULL_BACKOFF_MS)
    if named is head:
        return
    replica_health.request_probe_unless_answered(incarnation)
    if named.failure_domain != head.failure_domain:
        replica_health.note_silent(incarnation)


def faulty_replica_id(send: StreamSend) -> str:
    """Return the id of the replica that the last refusal names; empty if it names none."""
    ids = (part.replica_id for part in send.path.parts if str(part.address) == send.faulty_address)
    return next(ids, "")
