"""Hooks of behave: each scenario may ask for a site, which is stopped after it."""

from __future__ import annotations

import os
import shutil
import sys
from pathlib import Path
from typing import Any, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.site import Site

DEFAULT_SEED: Final = 20261203


def before_scenario(context: Any, _scenario: Any) -> None:
    """Give the scenario its site, not started yet, and print the seed."""
    seed = int(os.environ.get("PIMENTODALE_SEED", DEFAULT_SEED))
    context.site = Site(seed)
    print(f"seed {seed}")


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the site; show its logs if the scenario failed."""
    site: Site = context.site
    site.stop()
    if scenario.status.name in ("failed", "error"):
        print(site.logs())
    shutil.rmtree(site.folder, ignore_errors=True)
