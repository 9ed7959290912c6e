"""Log lines on the owners of key ranges: moves, new fences, grants and releases."""

import logging
from collections.abc import Iterable, Iterator, Sequence

from fireflyferry.keyranges import GrantAnswer, GrantCall, OwnedRange, ReleaseCall

__all__ = ["log_grant", "log_moves", "log_release"]

_LOG = logging.getLogger(__name__)


def log_moves(pool: str, before: Sequence[OwnedRange], after: Sequence[OwnedRange]) -> int:
    """Log what a new table changes; return the number of ranges that move."""
    for owned, earlier_fence in _raised_fences(before, after):
        _LOG.info(
            "fence_raised",
            extra={
                "pool": pool,
                "first": owned.first,
                "last": owned.last,
                "owner": owned.owner.upstream_id,
                "born": owned.owner.born,
                "fence": owned.fence,
                "earlier_fence": earlier_fence,
            },
        )
    owners = {(each.first, each.last, each.owner) for each in before}
    moved = [
        each
        for each in after
        if not each.serving and (each.first, each.last, each.owner) not in owners
    ]
    for each in moved:
        _LOG.info(
            "range_moves",
            extra={
                "pool": pool,
                "first": each.first,
                "last": each.last,
                "to": each.owner.upstream_id,
                "to_born": each.owner.born,
                "fence": each.fence,
                "earlier": ",".join(run.upstream_id for run in each.earlier_holders),
                "earlier_born": ",".join(str(run.born) for run in each.earlier_holders),
            },
        )
    return len(moved)


def log_grant(call: GrantCall, answer: GrantAnswer) -> None:
    """Log a grant that was not accepted, or why the earlier holders of its range are cleared."""
    if answer is not GrantAnswer.ACCEPTED:
        _log_call("grant_not_accepted", call, answer)
    elif call.cleared:
        cleared = ",".join(f"{run.upstream_id}:{why.name.lower()}" for run, why in call.cleared)
        born = ",".join(str(run.born) for run, _ in call.cleared)
        _log_call("moved_range_granted", call, answer, cleared=cleared, cleared_born=born)


def log_release(call: ReleaseCall, answer: GrantAnswer) -> None:
    """Log the answer to a release."""
    _log_call("release_answered", call, answer)


def _raised_fences(
    before: Iterable[OwnedRange], after: Iterable[OwnedRange]
) -> Iterator[tuple[OwnedRange, int]]:
    """Yield ranges whose owner stays and gets them under a new fence, with the earlier fence."""
    fences = {(each.first, each.last, each.owner): each.fence for each in before}
    for each in after:
        earlier_fence = fences.get((each.first, each.last, each.owner), each.fence)
        if earlier_fence != each.fence:
            yield each, earlier_fence


def _log_call(
    event: str, call: GrantCall | ReleaseCall, answer: GrantAnswer, **fields: str
) -> None:
    _LOG.info(
        event,
        extra={
            "upstream": call.run.upstream_id,
            "born": call.run.born,
            "first": call.first,
            "last": call.last,
            "fence": call.fence,
            "answer": answer.name.lower(),
            **fields,
        },
    )
