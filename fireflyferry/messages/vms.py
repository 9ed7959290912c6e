"""Entries of the platform's VM list."""

import attrs

__all__ = ["VmEntry"]


@attrs.frozen
class VmEntry:
    """A VM in the platform's list; addresses are `IP:PORT`.

    `role` is `entry` or `upstream`, and `state` is `live` or `leaving`. `address` is the public
    port of an entry VM, or the port of an upstream for control messages and requests.
    `peer_address` is the port of an entry VM for other VMs and operators. `pool` is the pool of an
    upstream.
    """

    vm_id: str
    role: str
    region: str
    data_centre: str
    address: str
    peer_address: str = ""
    pool: str = ""
    state: str = "live"
