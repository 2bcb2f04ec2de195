"""Settings of the C library's allocator that keep a process near what it holds."""

from __future__ import annotations

import ctypes
from typing import Final

LARGE_BYTES: Final = 320 * 1024
"""Size from which a buffer is mapped on its own and returned to the system as soon as it is freed. The
256 KB that asyncio allocates for each read are below it."""

_M_MMAP_THRESHOLD: Final = -3
"""Number of the option in glibc."""


def map_large_buffers() -> None:
    """Map large buffers on their own, whatever was freed before.

    By default glibc raises the threshold to the largest buffer freed so far, up to 32 MB. Bodies then
    grow in the heap, which they fragment: a gateway whose clients held 18 MB took 58 MB more than
    idle. C libraries without the option are left as they are.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return
    set_option(_M_MMAP_THRESHOLD, LARGE_BYTES)
