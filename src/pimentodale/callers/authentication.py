"""Bearer tokens to workspaces."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.results import Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.configuration.documents import Configuration, Workspace

_SCHEME: Final = "bearer "


class Authenticator:
    """Finds the workspace of a token; its index follows the configuration's revision."""

    __slots__ = ("_by_digest", "_configuration", "_indexed")

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._indexed: Configuration | None = None
        self._by_digest: dict[str, str] = {}

    def workspace_of(self, authorization: str | None) -> Result[Workspace, Refusal]:
        """Find who calls.

        Args:
            authorization: Value of the `Authorization` header, if there was one.

        Returns:
            The workspace, or the refusal.
        """
        configuration = self._configuration()
        if configuration is not self._indexed:
            self._index(configuration)
        if authorization is None or not authorization.lower().startswith(_SCHEME):
            return Error(_unauthenticated("Send 'Authorization: Bearer TOKEN'."))
        token = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        name = self._by_digest.get(digest)
        if name is None:
            return Error(_unauthenticated("No workspace has this token; ask its operator."))
        return Ok(configuration.workspaces[name])

    def _index(self, configuration: Configuration) -> None:
        """Index all tokens of a configuration."""
        self._by_digest = {
            digest: workspace.name
            for workspace in configuration.workspaces.values()
            for digest in workspace.token_sha256s
        }
        self._indexed = configuration


def create_authenticator(configuration: Callable[[], Configuration]) -> Authenticator:
    """Return an authenticator over the configuration in force."""
    return Authenticator(configuration)


def _unauthenticated(message: str) -> Refusal:
    """Refuse a caller without a known token."""
    return create_refusal(ResultCode.UNAUTHENTICATED, message)
