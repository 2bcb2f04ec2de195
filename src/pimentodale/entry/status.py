"""`GET /admin/status`: what this host holds of the other hosts and of leaving backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.callers.base import Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.callers.context import CallerContext
    from pimentodale.peers.peers import Peers
    from pimentodale.routing.fleet import Fleet


class MemberStatus(msgspec.Struct, frozen=True):
    """One entry host, as the answering host holds it."""

    host: str
    """Its name."""

    failure_domain: str
    """Failure domain that it stands in."""

    state: str
    """`alive`, `leaving`, `request_probe` or `gone`."""

    boot_id: str
    """Changes with each start of it."""


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /admin/status`."""

    host: str
    """Name of the answering host."""

    stopping: bool
    """Whether it is in a planned stop."""

    in_progress: int
    """Requests that it has accepted and not yet answered."""

    watcher: bool
    """Whether it watches the platform for its failure domain."""

    links: list[str]
    """Hosts that it is linked with."""

    members: list[MemberStatus]
    """Every host that it remembers, itself included."""

    leaving: list[str]
    """Backend servers that get no new work because they are leaving."""


class StatusHandler(Handler):
    """Shows the status of this host."""

    def initialize(  # type: ignore[override]
        self, context: CallerContext, status: Callable[[], HostStatus]
    ) -> None:
        """Take the shared state and what returns the status."""
        super().initialize(context)
        self._host_status = status

    def get(self) -> None:
        """Answer with the status."""
        self.answer(self._host_status())


def create_status_reader(
    context: CallerContext, peers: Peers, fleet: Fleet
) -> Callable[[], HostStatus]:
    """Return a closure that reads the host's status."""

    def read() -> HostStatus:
        members = [
            MemberStatus(
                member.host, member.failure_domain, member.state.name.lower(), member.boot_id
            )
            for member in sorted(peers.members(), key=lambda one: one.host)
        ]
        return HostStatus(
            host=peers.own.host,
            stopping=context.is_stopping(),
            in_progress=len(context.work),
            watcher=peers.is_watcher(),
            links=peers.linked_hosts(),
            members=members,
            leaving=fleet.leaving(),
        )

    return read
