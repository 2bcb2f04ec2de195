"""Starts `pimentodale-gateway` from a checkout, where the package isn't installed."""

from __future__ import annotations

from pimentodale.starts import start_gateway

start_gateway()
