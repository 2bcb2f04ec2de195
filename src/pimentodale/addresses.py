"""TCP addresses as settings and messages carry them."""

from __future__ import annotations

import ipaddress

import msgspec


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP number with a port."""

    ip: str
    """IPv4 or IPv6 number, without brackets."""

    port: int
    """TCP port."""

    def __str__(self) -> str:
        """Return `ip:port`, with brackets around IPv6."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


class BadAddressError(ValueError):
    """The text is not `IP:PORT`."""


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`.

    Args:
        text: Such as `127.0.0.1:8080` or `[::1]:8080`.

    Returns:
        The address.

    Raises:
        BadAddressError: If the text has another form.
    """
    ip, separator, port = text.rpartition(":")
    ip = ip.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError:
        raise BadAddressError(f"'{text}' is not IP:PORT; write such as 127.0.0.1:8080") from None
    if not separator or not 0 < number < 65536:
        raise BadAddressError(f"'{text}' has no port from 1 to 65535")
    return Address(ip, number)
