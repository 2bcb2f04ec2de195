"""Health, metrics, the list of models, and what operators read of one host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from pimentodale.callers.base import Handler
from pimentodale.callers.openai_messages import ModelEntry, ModelList
from pimentodale.results import ResultCode, create_refusal
from pimentodale.tracing.tracer import Span

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.callers.context import CallerContext
    from pimentodale.configuration.follower import FollowerStatus

HEALTHY: Any = {"status": "ok"}
"""Body of a good health answer."""


class TraceReply(msgspec.Struct, frozen=True):
    """Answer of `GET /admin/trace`."""

    request_id: str
    """The request."""

    spans: list[Span]
    """Its spans at this host, oldest first."""


class UnknownPathHandler(Handler):
    """Refuses paths that nothing answers."""

    def prepare(self) -> None:
        """Refuse at once."""
        message = f"Nothing is at {self.request.path}; docs/reference/api.md lists the paths."
        self.refuse(create_refusal(ResultCode.UNKNOWN_PATH, message))


class HealthHandler(Handler):
    """Says that the process is alive."""

    def get(self) -> None:
        """Answer 200."""
        self.answer(HEALTHY)


class ReadinessHandler(Handler):
    """Says whether this host takes new work."""

    def get(self) -> None:
        """Answer 200, or why this host is to be sent nothing more."""
        unready = self.context.readiness()
        if unready is not None:
            self.refuse(unready)
            return
        self.answer(HEALTHY)


class MetricsHandler(Handler):
    """Shows the metrics."""

    def get(self) -> None:
        """Answer in Prometheus text."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.context.metrics.exposition())


class ModelsHandler(Handler):
    """Lists the models."""

    def get(self) -> None:
        """Answer with the models of the configuration in force."""
        authorization = self.request.headers.get("Authorization")
        workspace = self.context.authenticator.workspace_of(authorization)
        if workspace.is_error():
            self.refuse(workspace.error)
            return
        models = self.context.configuration().models
        self.answer(ModelList([ModelEntry(name) for name in sorted(models)]))


class TraceHandler(Handler):
    """Shows the spans of one request."""

    def get(self) -> None:
        """Answer with the spans that this host keeps."""
        request_id = self.get_query_argument("request_id", "")
        self.answer(TraceReply(request_id, self.context.tracer.spans(request_id)))


class ConfigurationHandler(Handler):
    """Shows which configuration is in force here and what is wrong with files."""

    def initialize(  # type: ignore[override]
        self, context: CallerContext, status: Callable[[], FollowerStatus]
    ) -> None:
        """Take the shared state and the follower's word."""
        super().initialize(context)
        self._status = status

    def get(self) -> None:
        """Answer with the follower's status."""
        self.answer(self._status())
