"""Stand-in for the host list: Prometheus HTTP service discovery that lags behind the truth.

Admin paths, answered on `listen` and on `admin_listen`: `GET` and `POST /admin/targets`, `GET` and
`POST /admin/faults`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.clock import Clock, create_clock
from pimentodale.standin.http_parts import (
    Listener,
    Outage,
    OutageState,
    PartHandler,
    create_application,
)

if TYPE_CHECKING:
    from tornado.web import Application


class TargetGroup(msgspec.Struct, frozen=True):
    """Addresses that share labels, as service discovery answers them."""

    targets: list[str]
    """`IP:PORT` of each."""

    labels: dict[str, str] = {}
    """What is known of them."""


class View(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What one failure domain sees: the same list with some addresses replaced."""

    listen: str
    """`IP:PORT` for that domain's callers."""

    substitutions: dict[str, str] = {}
    """Address shown in place of another, such as a relay's for the host behind it."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` for the admin paths alone; stays open when `listen` refuses."""

    lag_ms: float = 0.0
    """How long a change takes to show."""

    targets: list[TargetGroup] = []
    """The list at the start, shown at once."""

    views: list[View] = []
    """Listeners with replaced addresses."""

    faults: Outage = Outage()
    """Faults from the start."""


class PendingList(msgspec.Struct, frozen=True):
    """A list that is not shown yet."""

    due_ms: float
    """When it shows."""

    groups: list[TargetGroup]
    """The list."""


class HostListPart:
    """The running stand-in."""

    __slots__ = ("clock", "groups", "outage", "pending", "settings")

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.outage = OutageState(settings.faults, bool(settings.admin_listen))
        self.groups = settings.targets
        self.pending: list[PendingList] = []

    def replace(self, groups: list[TargetGroup]) -> None:
        """Take a new list, to be shown after the lag."""
        self.pending.append(PendingList(self.clock.now_ms() + self.settings.lag_ms, groups))

    def shown(self, substitutions: dict[str, str]) -> list[TargetGroup]:
        """Return the list as callers see it now."""
        now_ms = self.clock.now_ms()
        while self.pending and self.pending[0].due_ms <= now_ms:
            self.groups = self.pending.pop(0).groups
        if not substitutions:
            return self.groups
        return [
            TargetGroup(
                [substitutions.get(target, target) for target in group.targets], group.labels
            )
            for group in self.groups
        ]


class HostListHandler(PartHandler):
    """What the paths share."""

    part: HostListPart
    """The running stand-in."""

    substitutions: dict[str, str]
    """Addresses that this listener replaces."""

    def initialize(self, part: HostListPart, substitutions: dict[str, str]) -> None:
        """Take the part."""
        self.part = part
        self.substitutions = substitutions


class TargetsHandler(HostListHandler):
    """`/targets`."""

    async def get(self) -> None:
        """Answer the list."""
        if await self.meet_outage(self.part.outage.faults):
            self.reply(self.part.shown(self.substitutions))


class AdminTargetsHandler(HostListHandler):
    """`/admin/targets`."""

    def get(self) -> None:
        """Answer the newest list, shown or not."""
        pending = self.part.pending
        self.reply(pending[-1].groups if pending else self.part.groups)

    def post(self) -> None:
        """Replace the list."""
        groups = self.read(list[TargetGroup])
        if groups is None:
            return
        self.part.replace(groups)
        self.reply(groups)


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    part = HostListPart(settings, create_clock())
    plain = _create_application(part, {})
    part.outage.listeners.append(Listener(settings.listen, plain))
    for view in settings.views:
        part.outage.listeners.append(
            Listener(view.listen, _create_application(part, view.substitutions))
        )
    await part.outage.apply()
    if settings.admin_listen:
        Listener(settings.admin_listen, plain).open()


def _create_application(part: HostListPart, substitutions: dict[str, str]) -> Application:
    """Return the handlers of one listener."""
    arguments: dict[str, object] = {"part": part, "substitutions": substitutions}
    handlers: dict[str, type[PartHandler]] = {
        "/targets": TargetsHandler,
        "/admin/targets": AdminTargetsHandler,
    }
    return create_application(handlers, arguments, part.outage)
