"""Stand-in for the weight store: hands out places in its rate-limited line."""

from __future__ import annotations

import msgspec

from pimentodale.clients.weight_store import Reservation, ReservationRequest
from pimentodale.clock import MS_PER_S, Clock, create_clock
from pimentodale.standin.http_parts import (
    Journal,
    Listener,
    Outage,
    OutageState,
    PartHandler,
    create_application,
)


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` for the admin paths alone; stays open when `listen` refuses."""

    bytes_per_s: float = 1e9
    """Rate at which weights are read."""

    journal: str = ""
    """File that receives a JSON line for each reservation; empty for none."""

    faults: Outage = Outage()
    """Faults from the start."""


class ReservationEntry(msgspec.Struct, frozen=True):
    """One line of the journal."""

    at_ms: float
    """Monotonic time of this machine when it was asked for."""

    holder: str
    """Who asked."""

    bytes: int
    """Size of the load."""

    start_after_ms: float
    """What was answered."""


class WeightStorePart:
    """The running stand-in."""

    __slots__ = ("clock", "free_ms", "journal", "outage", "settings")

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.outage = OutageState(settings.faults, bool(settings.admin_listen))
        self.free_ms = 0.0
        self.journal = Journal(settings.journal)

    def reserve(self, request: ReservationRequest) -> Reservation:
        """Take the next place in the line."""
        now_ms = self.clock.now_ms()
        start_ms = max(now_ms, self.free_ms)
        self.free_ms = start_ms + request.bytes / self.settings.bytes_per_s * MS_PER_S
        reservation = Reservation(start_ms - now_ms)
        self.journal.write(
            ReservationEntry(now_ms, request.holder, request.bytes, reservation.start_after_ms)
        )
        return reservation


class WeightStoreHandler(PartHandler):
    """What the paths share."""

    part: WeightStorePart
    """The running stand-in."""

    def initialize(self, part: WeightStorePart) -> None:
        """Take the part."""
        self.part = part


class ReservationsHandler(WeightStoreHandler):
    """`/v1/reservations`."""

    async def post(self) -> None:
        """Hand out a place."""
        if not await self.meet_outage(self.part.outage.faults):
            return
        request = self.read(ReservationRequest)
        if request is not None:
            self.reply(self.part.reserve(request))


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    part = WeightStorePart(settings, create_clock())
    handlers: dict[str, type[PartHandler]] = {
        "/v1/reservations": ReservationsHandler,
    }
    application = create_application(handlers, {"part": part}, part.outage)
    part.outage.listeners.append(Listener(settings.listen, application))
    await part.outage.apply()
    if settings.admin_listen:
        Listener(settings.admin_listen, application).open()
