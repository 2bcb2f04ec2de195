"""Wires the slices of one entry host together and runs them until it is told to stop."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.background import create_background_tasks
from pimentodale.callers.app import create_application, create_server
from pimentodale.callers.authentication import create_authenticator
from pimentodale.callers.context import CallerContext
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import create_follower
from pimentodale.entry.services import create_replica_picker
from pimentodale.ledger.key_ledger import create_key_ledger
from pimentodale.logs import get_log
from pimentodale.metrics import create_metrics
from pimentodale.pipelines.generate import PipelineMeans
from pimentodale.platform.etcd_gateway import create_etcd_gateway
from pimentodale.platform.host_list import create_host_list_poller, create_host_list_reader
from pimentodale.results import Refusal, ResultCode, create_refusal
from pimentodale.routing.fleet import create_fleet
from pimentodale.routing.router import create_router
from pimentodale.services.caller import create_service_caller
from pimentodale.tracing.tracer import create_tracer

if TYPE_CHECKING:
    from pimentodale.entry.settings import EntrySettings

HOST_LIST_INTERVAL_MS: Final = 1_000.0
"""Mean time between readings of the host list."""

REPLAN_INTERVAL_MS: Final = 100.0
"""Time between looks at whether routes need another plan."""

NOT_READY_RETRY_MS: Final = 1_000.0
"""When a caller may come back to a host that is starting or stopping."""

_log = get_log("entry")
