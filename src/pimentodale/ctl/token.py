"""`pimentodale-ctl token`: a new bearer token."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass
from typing import Final

import cappa

from pimentodale.ctl.exit_codes import ExitCode

TOKEN_BYTES: Final = 32
"""Random octets in a token."""


@cappa.command(name="token", help="Print a new bearer token and its SHA-256 for token_sha256s.")
@dataclass(slots=True)
class TokenCommand:
    """Arguments of `token`: none."""


def run_token(_command: TokenCommand) -> ExitCode:
    """Print a token and its digest."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    print(f"token: {token}")
    print(f"sha256: {hashlib.sha256(token.encode()).hexdigest()}")
    return ExitCode.OK
