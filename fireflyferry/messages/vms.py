"""Entries of the platform's VM list."""

import attrs

__all__ = ["VmEntry"]


@attrs.frozen
class VmEntry:
    """A VM in the platform's list; addresses are `IP:PORT`."""

    vm_id: str
    role: str
    region: str
    data_centre: str
    address: str
    peer_address: str = ""
    pool: str = ""
    state: str = "live"
