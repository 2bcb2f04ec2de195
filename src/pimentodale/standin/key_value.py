"""Stand-in for the key-value service: the etcd v3 JSON gateway, with outages and lost answers.

Admin paths, answered on `listen` and on `admin_listen`: `GET /admin/calls`, `GET` and `POST
/admin/faults`, `POST /admin/snapshot`, `POST /admin/restore`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.etcd_messages import (
    DeleteRangeRequest,
    KeepAliveLine,
    LeaseGrantRequest,
    LeaseRequest,
    PutRequest,
    PutResponse,
    RangeRequest,
    TxnRequest,
)
from pimentodale.clock import create_clock
from pimentodale.standin.http_parts import (
    Listener,
    PartHandler,
    apply_outage,
    create_application,
    repeat,
    spawn,
)
from pimentodale.standin.key_value_admin import (
    CallsHandler,
    FaultsHandler,
    RestoreHandler,
    SnapshotHandler,
)
from pimentodale.standin.key_value_part import KeyValueHandler, KeyValuePart, Settings
from pimentodale.standin.key_value_state import LeaseNotFoundError
from pimentodale.standin.key_value_watch import WatchHandler

if TYPE_CHECKING:
    from tornado.web import Application

EXPIRY_INTERVAL_MS: Final = 20.0
"""How often leases are looked at."""


class RangeHandler(KeyValueHandler):
    """`/v3/kv/range`."""

    async def post(self) -> None:
        """Read."""
        self.part.calls.range += 1
        request = self.read(RangeRequest)
        if request is None or not await self.begin(write=False):
            return
        await self.end(self.part.state.range(request), write=False)


class TxnHandler(KeyValueHandler):
    """`/v3/kv/txn`."""

    async def post(self) -> None:
        """Run a transaction."""
        self.part.calls.txn += 1
        request = self.read(TxnRequest)
        if request is None or not await self.begin(write=True):
            return
        most = max(len(request.compare), len(request.success), len(request.failure))
        if most > self.part.settings.max_txn_ops:
            self.fail(400, 3, "etcdserver: too many operations in txn request")
            return
        try:
            answer = self.part.state.txn(request)
        except LeaseNotFoundError:
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        except ValueError as error:
            self.fail(400, 3, str(error))
            return
        await self.end(answer, write=True)


class PutHandler(KeyValueHandler):
    """`/v3/kv/put`."""

    async def post(self) -> None:
        """Write one key."""
        self.part.calls.txn += 1
        request = self.read(PutRequest)
        if request is None or not await self.begin(write=True):
            return
        try:
            answer = self.part.state.put(request)
        except LeaseNotFoundError:
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        await self.end(answer, write=True)


class DeleteRangeHandler(KeyValueHandler):
    """`/v3/kv/deleterange`."""

    async def post(self) -> None:
        """Remove a range."""
        self.part.calls.txn += 1
        request = self.read(DeleteRangeRequest)
        if request is None or not await self.begin(write=True):
            return
        await self.end(self.part.state.delete_range(request), write=True)


class LeaseGrantHandler(KeyValueHandler):
    """`/v3/lease/grant`."""

    async def post(self) -> None:
        """Create a lease."""
        self.part.calls.lease_grant += 1
        request = self.read(LeaseGrantRequest)
        if request is None or not await self.begin(write=True):
            return
        ttl_s = max(1, int(request.ttl_s))
        await self.end(self.part.state.grant(ttl_s, self.part.clock), write=True)


class LeaseKeepAliveHandler(KeyValueHandler):
    """`/v3/lease/keepalive`."""

    async def post(self) -> None:
        """Renew a lease."""
        self.part.calls.lease_keepalive += 1
        request = self.read(LeaseRequest)
        if request is None or not await self.begin(write=True):
            return
        answer = self.part.state.keep_alive(int(request.id), self.part.clock)
        await self.end(KeepAliveLine(answer), write=True)


class LeaseRevokeHandler(KeyValueHandler):
    """`/v3/lease/revoke`."""

    async def post(self) -> None:
        """End a lease."""
        self.part.calls.lease_revoke += 1
        request = self.read(LeaseRequest)
        if request is None or not await self.begin(write=True):
            return
        if not self.part.state.revoke(int(request.id)):
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        await self.end(PutResponse(self.part.state.header()), write=True)


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    part = KeyValuePart(settings, create_clock())
    application = _create_application(part)
    part.listener = Listener(settings.listen, application)
    await apply_outage(part.faults, part.listener)
    if settings.admin_listen:
        Listener(settings.admin_listen, application).open()
    spawn(repeat(part.expire_leases, EXPIRY_INTERVAL_MS), "key-value leases")


def _create_application(part: KeyValuePart) -> Application:
    """Return the handlers of every path."""
    handlers: dict[str, type[PartHandler]] = {
        "/v3/kv/range": RangeHandler,
        "/v3/kv/txn": TxnHandler,
        "/v3/kv/put": PutHandler,
        "/v3/kv/deleterange": DeleteRangeHandler,
        "/v3/lease/grant": LeaseGrantHandler,
        "/v3/lease/keepalive": LeaseKeepAliveHandler,
        "/v3/lease/revoke": LeaseRevokeHandler,
        "/v3/watch": WatchHandler,
        "/admin/calls": CallsHandler,
        "/admin/faults": FaultsHandler,
        "/admin/snapshot": SnapshotHandler,
        "/admin/restore": RestoreHandler,
    }
    return create_application(handlers, {"part": part})
