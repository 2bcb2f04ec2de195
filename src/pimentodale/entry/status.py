"""`GET /admin/status`: this host's view of the other hosts and of leaving backend servers."""

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
    """State of one entry host as known to the answering host."""

    host: str
    """Name of the host."""

    failure_domain: str
    """Failure domain that the host belongs to."""

    state: str
    """`alive`, `leaving`, `request_probe` or `gone`."""

    boot_id: str
    """Identifies the run of the host; changes with each start."""


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /admin/status`."""

    host: str
    """Name of the answering host."""

    stopping: bool
    """Whether the host is shutting down gracefully."""

    in_progress: int
    """Number of requests accepted but not yet answered."""

    watcher: bool
    """Whether it watches the key-value store on behalf of its failure domain."""

    links: list[str]
    """Hosts that it has peer links with."""

    members: list[MemberStatus]
    """All known hosts, including itself."""

    leaving: list[str]
    """Backend servers that are leaving and get no new work."""


class StatusHandler(Handler):
    """Handler that returns the status of this host."""

    def initialize(  # type: ignore[override]
        self, context: CallerContext, status: Callable[[], HostStatus]
    ) -> None:
        """Set the shared context and the function that returns the status."""
        super().initialize(context)
        self._host_status = status

    def get(self) -> None:
        """Send the status."""
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
