"""Reads the folder straight from the key-value service, without acceptance or errors of files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.configuration.documents import Configuration, ConfigurationFile, Limits
from pimentodale.platform.key_value import prefix_end
from pimentodale.yaml_files import parse_yaml

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.platform.key_value import KeyValue, KeyValueStore

FOLDER_PREFIX: Final = "pimentodale/folder/"
"""Keys of the operators' files."""

READ_INTERVAL_MS: Final = 500.0
"""Time between readings."""


class FolderReader:
    """Holds the configuration as last read."""

    __slots__ = ("_clock", "_configuration", "_store")

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._configuration = Configuration()

    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._configuration

    async def run(self) -> None:
        """Read the folder again and again."""
        while True:
            reply = await self._store.read(FOLDER_PREFIX, prefix_end(FOLDER_PREFIX))
            if reply.is_ok() and reply.ok.items:
                revision = max(item.mod_revision for item in reply.ok.items)
                if revision > self._configuration.revision:
                    self._configuration = _merge(reply.ok.items, revision)
            await self._clock.sleep_ms(READ_INTERVAL_MS)


def create_folder_reader(store: KeyValueStore, clock: Clock) -> FolderReader:
    """Return a reader; run its `run` as a task.

    Args:
        store: The key-value service.
        clock: Waits between readings.
    """
    return FolderReader(store, clock)


def _merge(items: list[KeyValue], revision: int) -> Configuration:
    """Merge the files that can be read, in the order of their names."""
    merged = Configuration(
        revision=revision, models={}, workspaces={}, services={}, limits=Limits()
    )
    for item in items:
        parsed = parse_yaml(item.value.decode(errors="replace"), ConfigurationFile, item.key)
        if parsed.is_error():
            continue
        merged.models.update({model.name: model for model in parsed.ok.models})
        merged.workspaces.update({one.name: one for one in parsed.ok.workspaces})
        merged.services.update({service.name: service for service in parsed.ok.services})
    return merged
