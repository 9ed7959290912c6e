"""Guards against odd entries that are none, and against VMs that stop following the list unseen."""

import asyncio
import random

import orjson
import pytest

from fireflyferry.platform import names
from fireflyferry.platform.soak import odd_entries as odd_entries_module
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.fleet import UpstreamFleet
from fireflyferry.platform.soak.odd_entries import ODD_FORMS, OddEntries
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamWorld

FOLLOW = "VMs follow the list beside an odd entry"


@pytest.mark.parametrize("form", ODD_FORMS, ids=lambda form: form.label)
@pytest.mark.parametrize(
    ("status", "is_calm", "reported"),
    [(200, True, set()), (503, True, {FOLLOW}), (503, False, set())],
)
def test_vm_that_does_not_use_an_upstream_beside_an_odd_entry_is_reported(
    form, status, is_calm, reported, monkeypatch
):
    monkeypatch.setattr(odd_entries_module, "FIRST_REQUEST_S", 0.02)
    monkeypatch.setattr(odd_entries_module, "CHECK_INTERVAL_S", 0.01)

    async def main():
        store, audit = StoreStandin(random.Random(1)), Audit()
        world = UpstreamWorld(store, audit, random.Random(1))
        fleet = UpstreamFleet(world, {"plain": False, "joining": False})
        odd_entries = OddEntries(world, fleet, "joining", lambda: is_calm)
        listed = []

        async def call():
            listed.append(orjson.dumps(store.page(names.UPSTREAM_KIND, "")))
            return status

        odd_entries.start(form, fleet.add("plain", "dc"), {"vm-1": call})
        await asyncio.sleep(0.1)
        odd_entries.close()
        fleet.close()
        return listed[0], {each.invariant for each in audit.findings}

    listed, invariants = asyncio.run(main())
    assert invariants == reported
    assert orjson.dumps(f"{form.upstream_id}-1") in listed
