"""Commands on VMs, upstreams and units: assign, drain, declare-lost.

Each command raises OperatorError or StoreUnavailableError when it did not succeed.
"""

import argparse
import asyncio
import datetime
import re

from fireflyferry.edges import StoreUnavailableError, VersionConflictError
from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.messages import GroupRecord, VmEntry, decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.messages.control import (
    LOST_PREFIX,
    AssignReply,
    AssignRequest,
    DrainReply,
    DrainRequest,
    LostVm,
)
from fireflyferry.operators.context import Context
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.routing import bucket_of, key_unit
from fireflyferry.tables import Pool

__all__ = ["assign", "declare_lost", "drain", "entry_vms", "resolve_unit"]

ENTRY_ROLE = "entry"
UPSTREAM_ROLE = "upstream"
UNKNOWN_UPSTREAM = "unknown_upstream"
GROUPS_PREFIX = "groups/"
# Reason code of an assignment that the leader has accepted but not completed yet.
NOT_IN_PLACE_YET = "not_in_place_yet"
MAX_REDIRECTS = 3
MAX_WRITE_ATTEMPTS = 4


async def entry_vms(context: Context) -> tuple[VmEntry, ...]:
    """Return the entry VMs of the platform's list that have a peer address.

    Raises StoreUnavailableError.
    """
    listed = await context.vms.fetch()
    found = (vm for vm in listed if vm.role == ENTRY_ROLE and vm.peer_address)
    return tuple(sorted(found, key=lambda vm: vm.vm_id))


def resolve_unit(pool: Pool, text: str, is_key: bool) -> str:
    """Return the unit that an operator names by unit id or by key.

    Raises OperatorError for text that is not printable or a unit that the pool does not have.
    """
    if not text.isprintable() or not text:
        message = f"key: found {text!a}, allowed: printable text in UTF-8"
        raise OperatorError("no_such_unit", ExitCode.REFUSED, message)
    match = None if is_key else re.fullmatch(r"b:([0-9]{1,6})|k:([0-9]{1,6}):(.+)", text)
    if match is None:
        return key_unit(bucket_of(text, pool.buckets), text)
    expected = f"b:0 to b:{pool.buckets - 1}"
    if match[3]:
        expected = key_unit(bucket_of(match[3], pool.buckets), match[3])
    if (match[3] and text != expected) or (match[1] and int(match[1]) >= pool.buckets):
        message = f"unit: found {text!r}, allowed: {expected} (or give --key)"
        raise OperatorError("no_such_unit", ExitCode.REFUSED, message)
    return text


async def assign(context: Context, options: argparse.Namespace) -> int:
    """Place a unit on an upstream through the leader of its group."""
    current = await context.editor().read()
    pool = current.tables.pool(options.pool)
    if pool is None:
        names = ", ".join(row.name for row in current.tables.pools) or "none"
        message = f"pools {options.pool}: no such row; rows: {names}"
        raise OperatorError("bad_edit", ExitCode.REFUSED, message)
    unit = resolve_unit(pool, options.key_or_unit, options.key)
    request = AssignRequest(pool.name, unit, options.upstream, context.author)
    reply = await _request_assignment(context, request)
    if reply.reason == NOT_IN_PLACE_YET:
        message = f"{unit} is not owned by {options.upstream} yet; see `fireflyferryctl status`"
        raise OperatorError(reply.reason, ExitCode.UNKNOWN, message)
    if not reply.accepted:
        message = f"{unit} was not assigned to {options.upstream}: {reply.reason}"
        raise OperatorError(reply.reason or "refused", ExitCode.REFUSED, message)
    context.show(
        f"{unit} of group {reply.group} is assigned to {options.upstream} with fence "
        f"{reply.fence}; saved in the {reply.durability or 'unknown place'}."
    )
    return ExitCode.DONE


async def _request_assignment(context: Context, request: AssignRequest) -> AssignReply:
    """Send a request to entry VMs in turn, following redirects and skipping failed addresses."""
    failed: dict[str, str] = {}
    for vm in await entry_vms(context):
        address = vm.peer_address
        for _ in range(MAX_REDIRECTS):
            if address in failed:
                break
            try:
                reply = await context.peers.assign(address, request)
            except PeerUnavailableError as error:
                failed[address] = str(error)
                break
            if reply.accepted or not reply.leader_address:
                return reply
            address = reply.leader_address
    # A request whose answer was lost may have been carried out.
    exit_code = ExitCode.UNKNOWN if failed else ExitCode.UNAVAILABLE
    lines = ("No leader confirmed the assignment; `fireflyferryctl status` shows the owner.",)
    raise OperatorError("no_leader", exit_code, *lines, *failed.values())


async def drain(context: Context, options: argparse.Namespace) -> int:
    """Drain an entry VM, or an upstream through the leaders of its groups."""
    listed = await context.vms.fetch()
    listed_entry_vms = [vm for vm in listed if vm.role == ENTRY_ROLE and vm.peer_address]
    target_vms = [vm for vm in listed_entry_vms if vm.vm_id == options.target]
    upstreams = [vm for vm in listed if vm.vm_id == options.target and vm.role == UPSTREAM_ROLE]
    if not target_vms and not upstreams:
        message = f"{options.target} is neither an entry VM nor an upstream of the VM list."
        raise OperatorError("no_such_vm", ExitCode.REFUSED, message)
    failures = [] if target_vms else await _drain_upstream(context, upstreams[0])
    replies, call_failures = await _request_drain(
        context, target_vms or listed_entry_vms, options.target
    )
    failures.extend(call_failures)
    accepted = [reply for reply in replies if reply.accepted]
    # A VM that leads no group of the upstream refuses with this reason and has nothing to drain.
    refused = {reply.reason for reply in replies if not reply.accepted} - {UNKNOWN_UPSTREAM}
    units = sum(reply.units for reply in accepted)
    target_kind = "entry VM" if target_vms else "upstream"
    context.show(
        f"{target_kind} {options.target}: {len(accepted)} VMs drain it, {units} units left."
    )
    failures.extend(sorted(refused))
    if not failures:
        return ExitCode.DONE
    exit_code = ExitCode.PARTIAL if accepted else ExitCode.UNKNOWN
    raise OperatorError("drain_incomplete", exit_code, *failures, "Repeat the command.")


async def _drain_upstream(context: Context, upstream: VmEntry) -> list[str]:
    """Ask the upstream to drain, so that leaders of later terms see it; return failures."""
    try:
        await context.peers.drain_upstream(upstream.address)
    except PeerUnavailableError as error:
        return [f"{upstream.vm_id}: {error}"]
    return []


async def _request_drain(
    context: Context, vms: list[VmEntry], target: str
) -> tuple[list[DrainReply], list[str]]:
    request = DrainRequest(target, context.author)
    calls = (context.peers.drain(vm.peer_address, request) for vm in vms)
    replies, failures = [], []
    for vm, result in zip(vms, await asyncio.gather(*calls, return_exceptions=True), strict=True):
        if isinstance(result, DrainReply):
            replies.append(result)
        elif isinstance(result, PeerUnavailableError):
            failures.append(f"{vm.vm_id}: {result}")
        else:
            raise result
    return replies, failures


async def declare_lost(context: Context, options: argparse.Namespace) -> int:
    """Record the operator's declaration that the current incarnations of a VM have ended."""
    if options.withdraw:
        return await _withdraw(context, options)
    incarnations = await _recorded_incarnations(context, options.vm)
    await _refuse_if_answering(context, options.vm)
    context.show(
        f"{options.vm}: incarnations in group records: {', '.join(incarnations) or 'none'}"
    )
    if not options.yes:
        raise OperatorError(
            "not_confirmed",
            ExitCode.REFUSED,
            f"Nothing was recorded. If {options.vm} still runs, its keys can get a second owner. "
            "Make sure that it is stopped, then repeat with --yes.",
        )
    declaration = LostVm(options.vm, incarnations, context.author, options.note, _utc_now())
    await _write_declaration(context, f"{LOST_PREFIX}{options.vm}", encode(declaration))
    context.show(f"Recorded: {options.vm} is lost.")
    return ExitCode.DONE


def _utc_now() -> str:
    return datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


async def _withdraw(context: Context, options: argparse.Namespace) -> int:
    """Withdraw a declaration, so that it does not cover later incarnations of an upstream."""
    name = f"{LOST_PREFIX}{options.vm}"
    stored = await context.store.get(name)
    if stored is None or stored.data is None:
        message = f"{options.vm} is not declared lost; nothing was changed."
        raise OperatorError("not_declared", ExitCode.REFUSED, message)
    declaration = LostVm(options.vm, (), context.author, options.note, _utc_now(), withdrawn=True)
    await _write_declaration(context, name, encode(declaration))
    context.show(f"Withdrawn: {options.vm} is no longer declared lost.")
    return ExitCode.DONE


async def _recorded_incarnations(context: Context, vm_id: str) -> tuple[str, ...]:
    found = set()
    for item in (await context.store.list(GROUPS_PREFIX)).changes:
        if item.data is None:
            continue
        try:
            record = decode(item.data, GroupRecord)
        except MessageError as error:
            raise OperatorError("bad_record", ExitCode.REFUSED, f"{item.name}: {error}") from error
        members = (record.leader, record.standby)
        found.update(vm.incarnation for vm in members if vm is not None and vm.vm_id == vm_id)
    return tuple(sorted(found))


async def _refuse_if_answering(context: Context, vm_id: str) -> None:
    for vm in await entry_vms(context):
        if vm.vm_id != vm_id:
            continue
        try:
            await context.peers.status(vm.peer_address)
        except PeerUnavailableError:
            continue
        message = f"{vm_id} answers at {vm.peer_address}, so it is not lost; nothing was recorded."
        raise OperatorError("vm_answers", ExitCode.REFUSED, message)


async def _write_declaration(context: Context, name: str, data: bytes) -> None:
    """Write a declaration over any version of its object; repeating the write is harmless."""
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            await context.pause(0.2 * 2**attempt)
        try:
            stored = await context.store.get(name)
            if stored is not None and stored.data == data:
                return
            await context.store.put(name, data, stored.version if stored else 0)
            return
        except (StoreUnavailableError, VersionConflictError):
            continue
    message = f"The store did not confirm {name}; it may have been written. Repeat the command."
    raise OperatorError("outcome_unknown", ExitCode.UNKNOWN, message)
