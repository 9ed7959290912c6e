"""Commands on VMs, upstreams and units: assign, drain, declare-lost."""

import argparse
import asyncio
import datetime
import re

import xxhash

from fireflyferry.edges import StoreUnavailableError, VersionConflictError
from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.messages import GroupRecord, VmEntry, decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.messages.control import (
    LOST_PREFIX,
    AssignReply,
    AssignRequest,
    DrainRequest,
    LostVm,
)
from fireflyferry.operators.context import Context
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.tables import Pool

__all__ = ["assign", "declare_lost", "drain", "entry_vms", "unit_of"]

ENTRY_ROLE = "entry"
GROUPS_PREFIX = "groups/"
MAX_REDIRECTS = 3
WRITE_ATTEMPTS = 4


async def entry_vms(context: Context) -> tuple[VmEntry, ...]:
    """Return the entry VMs of the platform's list that have a peer address.

    Raises StoreUnavailableError.
    """
    listed = await context.vms.fetch()
    found = (vm for vm in listed if vm.role == ENTRY_ROLE and vm.peer_address)
    return tuple(sorted(found, key=lambda vm: vm.vm_id))


def unit_of(pool: Pool, text: str, is_key: bool) -> str:
    """Return the unit that an operator names by unit id or by key.

    Raises OperatorError for a unit that the pool does not have.
    """
    match = None if is_key else re.fullmatch(r"b:([0-9]{1,6})|k:([0-9]{1,6}):(.+)", text, re.DOTALL)
    if match is None:
        return f"k:{_bucket(pool, text)}:{text}"
    bucket = int(match[1] or match[2])
    if bucket >= pool.buckets or (match[3] and bucket != _bucket(pool, match[3])):
        right = (
            f"k:{_bucket(pool, match[3])}:{match[3]}" if match[3] else f"b:0 to b:{pool.buckets-1}"
        )
        message = f"unit: found {text!r}, allowed: {right} (or give --key)"
        raise OperatorError("no_such_unit", ExitCode.REFUSED, message)
    return text


def _bucket(pool: Pool, key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % pool.buckets


async def assign(context: Context, options: argparse.Namespace) -> int:
    """Place a unit on an upstream, through the leader of its group."""
    current = await context.editor().read()
    pool = current.tables.pool(options.pool)
    if pool is None:
        names = ", ".join(row.name for row in current.tables.pools) or "none"
        message = f"pools {options.pool}: no such row; rows: {names}"
        raise OperatorError("bad_edit", ExitCode.REFUSED, message)
    unit = unit_of(pool, options.key_or_unit, options.key)
    request = AssignRequest(pool.name, unit, options.upstream, context.author)
    reply = await _ask_leader(context, request)
    if not reply.accepted:
        message = f"{unit} was not assigned to {options.upstream}: {reply.reason}"
        raise OperatorError(reply.reason or "refused", ExitCode.REFUSED, message)
    context.show(
        f"{unit} of group {reply.group} is assigned to {options.upstream} with fence "
        f"{reply.fence}; saved in the {reply.durability or 'unknown place'}."
    )
    return ExitCode.DONE


async def _ask_leader(context: Context, request: AssignRequest) -> AssignReply:
    """Ask any entry VM, then the leader that it names."""
    failures = []
    for vm in await entry_vms(context):
        address, reply = vm.peer_address, None
        for _ in range(MAX_REDIRECTS):
            try:
                reply = await context.peers.assign(address, request)
            except PeerUnavailableError as error:
                failures.append(str(error))
                break
            if reply.accepted or not reply.leader_address:
                return reply
            address = reply.leader_address
        if reply is not None and reply.leader_address:
            failures.append(f"{address}: names another leader, {reply.leader_address}")
    # A request whose answer was lost may have been carried out.
    exit_code = ExitCode.UNKNOWN if failures else ExitCode.UNAVAILABLE
    lines = ("No VM confirmed the assignment; `fireflyferryctl status` shows the owner.", *failures)
    raise OperatorError("no_leader", exit_code, *lines)


async def drain(context: Context, options: argparse.Namespace) -> int:
    """Drain an entry VM, or have every entry VM drain an upstream."""
    vms = await entry_vms(context)
    own = tuple(vm for vm in vms if vm.vm_id == options.target)
    request = DrainRequest(options.target, context.author)
    targets = own or vms
    if not targets:
        message = "The VM list has no entry VM with a peer address."
        raise OperatorError("no_vms", ExitCode.UNAVAILABLE, message)
    replies = await asyncio.gather(
        *(context.peers.drain(vm.peer_address, request) for vm in targets), return_exceptions=True
    )
    failures = []
    accepted = units = 0
    for vm, reply in zip(targets, replies, strict=True):
        if isinstance(reply, PeerUnavailableError):
            failures.append(f"{vm.vm_id}: {reply}")
        elif isinstance(reply, BaseException):
            raise reply
        elif not reply.accepted:
            failures.append(f"{vm.vm_id}: {reply.reason}")
        else:
            accepted += 1
            units += reply.units
    what = "entry VM" if own else "upstream"
    context.show(
        f"{what} {options.target}: {accepted} of {len(targets)} VMs drain it, {units} units left."
    )
    if not failures:
        return ExitCode.DONE
    exit_code = ExitCode.PARTIAL if accepted else ExitCode.REFUSED
    raise OperatorError("drain_incomplete", exit_code, *failures)


async def declare_lost(context: Context, options: argparse.Namespace) -> int:
    """Record the operator's word that the present runs of a VM have ended."""
    incarnations = await _recorded_incarnations(context, options.vm)
    await _refuse_if_answering(context, options.vm)
    context.show(f"{options.vm}: runs in group records: {', '.join(incarnations) or 'none'}")
    if not options.yes:
        raise OperatorError(
            "not_confirmed",
            ExitCode.REFUSED,
            f"Nothing was recorded. If {options.vm} still runs, its keys can get a second owner. "
            "Make sure that it is stopped, then repeat with --yes.",
        )
    now = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    word = LostVm(options.vm, incarnations, context.author, options.note, now)
    await _write_word(context, f"{LOST_PREFIX}{options.vm}", encode(word))
    context.show(f"Recorded: the listed runs of {options.vm} have ended.")
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
        runs = (record.leader, record.standby)
        found.update(run.incarnation for run in runs if run is not None and run.vm_id == vm_id)
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


async def _write_word(context: Context, name: str, data: bytes) -> None:
    """Write an object whatever its version; a repeat of the same word does no harm."""
    for attempt in range(WRITE_ATTEMPTS):
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
