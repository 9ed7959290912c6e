"""The leader's book of grants: who owns a unit, moves, releases and fences."""

from fireflyferry.ownership.book import GrantBook
from fireflyferry.ownership.rows import GrantAction, Owner, SaveOwners, SendGrant

__all__ = ["GrantAction", "GrantBook", "Owner", "SaveOwners", "SendGrant"]
