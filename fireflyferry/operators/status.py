"""Command `status`: the combined status reports of all entry VMs."""

import argparse
import asyncio
import collections
from collections.abc import Iterable, Iterator, Sequence

import attrs

from fireflyferry.edges import StoreUnavailableError
from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.messages import VmEntry, encode
from fireflyferry.messages.control import GroupStatus, VmStatus
from fireflyferry.operators.context import Context
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.operators.fleet_commands import entry_vms
from fireflyferry.settings.values import one_line

__all__ = ["FleetStatus", "VmReport", "collect_status", "format_status", "lag_reason", "status"]

# The feed's long poll ends well within this time, so an older answer means that its source is
# unavailable.
FEED_STALE_S = 30.0


@attrs.frozen
class VmReport:
    """Status of one VM, None if it did not answer.

    `lag` is the reason why its tables are out of date, empty if they are not.
    """

    vm_id: str
    data_centre: str
    state: str
    status: VmStatus | None
    lag: str


@attrs.frozen
class FleetStatus:
    """Combined reports of the VMs, and the revision of the tables in the store.

    `revision` is 0 if the store has no tables, and None if the store did not answer. `damaged` is
    set if the tables in the store are missing or not valid. `groups` has the report with the
    highest term of each group. `rivals` names the groups that more than one VM reports to lead, as
    can happen during a takeover.
    """

    revision: int | None
    damaged: bool
    vms: tuple[VmReport, ...]
    groups: tuple[GroupStatus, ...]
    rivals: tuple[str, ...]
    refusals: dict[str, int]
    retries: dict[str, int]


def lag_reason(vm: VmStatus | None, revision: int | None) -> str:
    """Return why a VM does not have the store's revision; empty if it has it or it is unknown."""
    if vm is None:
        return "does not answer"
    if revision is None or vm.revision >= revision:
        return ""
    if vm.rejected_revision > vm.revision:
        return f"rejected revision {vm.rejected_revision}: {vm.rejected_reason}"
    source = vm.feed_source or "no source yet"
    if vm.feed_age_s > FEED_STALE_S:
        return f"feed ({source}) last answered {vm.feed_age_s:.1f} s ago"
    return f"revision {revision} has not arrived through the feed ({source})"


async def _fetch_status(context: Context, vm: VmEntry) -> VmStatus | None:
    try:
        return await context.peers.status(vm.peer_address)
    except PeerUnavailableError:
        return None


async def collect_status(context: Context, addresses: Sequence[str] = ()) -> FleetStatus:
    """Collect the store's revision and the status of the listed entry VMs or the given addresses.

    Raises StoreUnavailableError when the VM list is needed and cannot be read.
    """
    given = tuple(VmEntry(each, "entry", "", "", "", each) for each in addresses)
    vms = given or await entry_vms(context)
    try:
        current = await context.editor().read(restoring=True)
        revision, damaged = current.tables.revision, current.damaged
    except (StoreUnavailableError, OperatorError):
        revision, damaged = None, False
    answers = await asyncio.gather(*(_fetch_status(context, vm) for vm in vms))
    reports = tuple(
        VmReport(vm.vm_id, vm.data_centre, vm.state, answer, lag_reason(answer, revision))
        for vm, answer in zip(vms, answers, strict=True)
    )
    return _combine_reports(revision, damaged, reports)


def _combine_reports(
    revision: int | None, damaged: bool, reports: tuple[VmReport, ...]
) -> FleetStatus:
    answered = [report.status for report in reports if report.status is not None]
    by_group: dict[str, list[GroupStatus]] = collections.defaultdict(list)
    for vm in answered:
        for group in vm.groups:
            by_group[str(group.group)].append(group)
    names = sorted(by_group)
    latest = tuple(max(by_group[name], key=lambda group: group.term) for name in names)
    rivals = tuple(name for name in names if len(by_group[name]) > 1)
    refusals = _sum_counts(vm.refusals for vm in answered)
    retries = _sum_counts(vm.retries for vm in answered)
    return FleetStatus(revision, damaged, reports, latest, rivals, refusals, retries)


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for each in counts:
        total.update(each)
    return dict(sorted(total.items()))


def _format_vms(fleet: FleetStatus) -> Iterator[str]:
    yield f"VMs: {len(fleet.vms)}, behind or silent: {sum(bool(vm.lag) for vm in fleet.vms)}"
    for vm in fleet.vms:
        revision = "-" if vm.status is None else str(vm.status.revision)
        draining = " draining" if vm.status is not None and vm.status.draining else ""
        lag = f" lag: {vm.lag}" if vm.lag else ""
        yield f"  {vm.vm_id} {vm.data_centre} {vm.state}{draining} revision {revision}{lag}"


def _format_group(group: GroupStatus) -> Iterator[str]:
    standby = group.standby.vm_id if group.standby else "none"
    yield (
        f"  {group.group} term {group.term} leader {group.leader.vm_id} standby {standby} "
        f"authority {group.authority_s:.1f} s"
    )
    owners = (f"{upstream}: {count}" for upstream, count in sorted(group.units.items()))
    yield f"    units by owner: {', '.join(owners) or 'none'}"
    for unit, upstream in sorted(group.keys.items()):
        yield f"    {unit} owner {upstream}"
    for move in group.moves:
        waits = f", waits for {move.waits_for}" if move.waits_for else ""
        yield f"    move {move.unit} from {move.source or 'none'} to {move.target}{waits}"
    if group.held:
        yield f"    held: {', '.join(group.held)}"


def format_status(fleet: FleetStatus) -> str:
    """Format the status for a person to read."""
    revision = str(fleet.revision)
    if fleet.revision is None:
        revision = "unknown, the store does not answer"
    elif fleet.damaged:
        revision += ", but the tables are missing or not valid; see `fireflyferryctl history`"
    lines = [f"Revision in the store: {revision}", *_format_vms(fleet)]
    lines.append(f"Groups: {len(fleet.groups)}")
    for group in fleet.groups:
        lines.extend(_format_group(group))
    lines.extend(f"  {name}: more than one VM reports to lead it" for name in fleet.rivals)
    for title, counts in (("Refusals", fleet.refusals), ("Retries", fleet.retries)):
        pairs = ", ".join(f"{reason} {count}" for reason, count in counts.items())
        lines.append(f"{title} by reason: {pairs or 'none'}")
    return "\n".join(one_line(line) for line in lines)


async def status(context: Context, options: argparse.Namespace) -> int:
    """Show the status; the exit code is PARTIAL if the store's tables are unusable or a VM lags.

    Raises StoreUnavailableError when the VM list is needed and cannot be read.
    """
    fleet = await collect_status(context, options.peer)
    context.show(encode(fleet).decode() if options.json else format_status(fleet))
    if fleet.revision is None or fleet.damaged or any(vm.lag for vm in fleet.vms):
        return ExitCode.PARTIAL
    return ExitCode.DONE
