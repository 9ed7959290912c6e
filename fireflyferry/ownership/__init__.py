"""Grants of a group's leader to upstreams: owners of units, moves, releases and fences."""

from fireflyferry.ownership.book import GrantManager
from fireflyferry.ownership.rows import GrantAction, Owner, SaveOwners, SendGrant

__all__ = ["GrantAction", "GrantManager", "Owner", "SaveOwners", "SendGrant"]
