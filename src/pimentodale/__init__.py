"""A router for language-model pipelines over mixed accelerators, and its coordination parts."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
"""Version of the package and of every program in it."""
