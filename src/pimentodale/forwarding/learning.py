"""What a send of a stream shows of its replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.messages import Refused
from pimentodale.forwarding.stream_state import AttemptEnd
from pimentodale.placement.paths import fill_capacity
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.forwarding.stream_state import StreamState
    from pimentodale.site.beliefs import ReplicaBeliefs
    from pimentodale.site.model import BackendService, ReplicaRecord

NO_ROOM_PASS_OVER_MS: Final = 150.0
"""How long a replica that had no room gets no new requests."""

STALLED_FRACTION: Final = 0.8
"""Part of the engines' patience after which a refusal means that the request stalled."""


def learn(
    means: ForwardingMeans, service: BackendService, state: StreamState, end: AttemptEnd
) -> None:
    """Keep what a send showed of its replicas.

    Args:
        means: Shared state.
        service: The service that the stream is of.
        state: The stream; its path is the one that was tried.
        end: How the send ended.
    """
    if state.path is None or end is AttemptEnd.TIMED_OUT:
        return
    head = means.view.replicas.get(state.path.parts[0].replica_id)
    if head is None:
        return
    incarnation = incarnation_of(head)
    if end is AttemptEnd.NOT_SENT:
        means.beliefs.mark_down(incarnation, "it can't be connected to")
        state.avoid.add(head.replica_id)
    elif end is AttemptEnd.BROKEN:
        means.beliefs.note_result(incarnation, False)
        means.beliefs.suspect(incarnation)
        state.avoid.add(head.replica_id)
        state.used_heads.note(incarnation, may_run_again=False)
    elif end is AttemptEnd.REFUSED:
        named = means.view.replicas.get(faulty_part(state) or head.replica_id)
        if named is not None:
            state.avoid.add(named.replica_id)
            waited_ms = means.clock.now_ms() - state.active_ms
            is_stall = has_stalled(means, waited_ms)
            learn_refusal(means.beliefs, head, named, has_stalled=is_stall)
            if service.engine is not None and not is_stall:
                capacity = fill_capacity(service.engine, named)
                means.loads.note_full(named.replica_id, capacity)
    elif end is AttemptEnd.LOST:
        state.avoid.add(head.replica_id)
        state.used_heads.note(incarnation, may_run_again=not state.blames_head)
    else:
        means.beliefs.note_result(incarnation, True)


def has_stalled(means: ForwardingMeans, waited_ms: float) -> bool:
    """Whether a refusal after some wait means that the request stalled on a replica of its path."""
    return waited_ms >= means.stall_ms * STALLED_FRACTION


def learn_answer(means: ForwardingMeans, replica: ReplicaRecord, answer: BackendAnswer) -> None:
    """Keep what the header of an answer says of the replica that gave it.

    Args:
        means: Shared state.
        replica: The replica that was asked.
        answer: What came from its address.
    """
    if answer.refused is Refused.WRONG_REPLICA:
        # Another replica has the address now, and speaks for itself.
        return
    if answer.is_leaving:
        means.view.note_leaving(replica)
    incarnation = incarnation_of(replica)
    if answer.hold_off_ms is not None:
        means.beliefs.hold_offs.hold(incarnation, answer.hold_off_ms)
    else:
        means.beliefs.hold_offs.note_taken(incarnation)


def learn_refusal(
    beliefs: ReplicaBeliefs, head: ReplicaRecord, named: ReplicaRecord, *, has_stalled: bool
) -> None:
    """Keep what a refusal showed.

    A first replica that doesn't reach another one refuses at once and in the same words as for want
    of room there.

    Args:
        beliefs: This host's beliefs.
        head: The first replica of the path.
        named: The replica that the refusal names; the first one where it names none.
        has_stalled: Whether the refusal came only after the engines' patience.
    """
    incarnation = incarnation_of(named)
    if has_stalled:
        beliefs.doubt(incarnation, "requests stalled on it")
        return
    beliefs.pass_over(incarnation, NO_ROOM_PASS_OVER_MS)
    if named is head:
        return
    beliefs.suspect_unless_heard(incarnation)
    if named.failure_domain != head.failure_domain:
        beliefs.note_silent(incarnation)


def faulty_part(state: StreamState) -> str:
    """Return the id of the replica that the last refusal names; empty where it names none."""
    parts = state.path.parts if state.path else ()
    ids = (part.replica_id for part in parts if str(part.address) == state.faulty_address)
    return next(ids, "")
