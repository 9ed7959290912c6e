"""Connects without a request, which show whether an address can be reached."""

import asyncio
import contextlib

__all__ = ["can_connect"]

RESET_WAIT_S = 0.03  # a firewall or proxy may accept a connection and reset it at once


async def can_connect(address: str, timeout_s: float) -> bool:
    """Return whether a connection to `IP:PORT` opens within `timeout_s` seconds and stays open."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError):
        return False
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESET_WAIT_S):
                return bool(await reader.read(1))
        return True
    except OSError:
        return False
    finally:
        writer.close()
