"""Background work that meets an unexpected error goes on."""

import asyncio

from fireflyferry import tasks
from fireflyferry.gateway.edges import DocumentBatch
from fireflyferry.gateway.tests.support import FakeStore, make_config, run_with
from fireflyferry.messages.codec import unstructure


def test_work_runs_again_after_an_unexpected_error(monkeypatch):
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)

    async def scenario():
        runs = 0

        async def work():
            nonlocal runs
            runs += 1
            if runs < 3:
                raise KeyError("unexpected")

        await tasks.BackgroundTasks().supervise(work)
        return runs

    assert asyncio.run(scenario()) == 3


def test_cancelled_work_is_not_run_again():
    async def scenario():
        background = tasks.BackgroundTasks()
        task = background.supervise(lambda: asyncio.sleep(60))
        await asyncio.sleep(0)
        background.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    assert asyncio.run(scenario())


def test_new_configuration_applies_after_an_unexpected_error_of_a_watch(monkeypatch):
    """Guards against a VM that keeps an old configuration for ever after one unexpected error."""

    async def scenario(running, upstream, store):
        real_watch, failed = FakeStore.watch, False

        async def watch(self, kind, position, wait_s) -> DocumentBatch:
            nonlocal failed
            if kind == "configs" and not failed:
                failed = True
                raise KeyError("unexpected")
            return await real_watch(self, kind, position, wait_s)

        monkeypatch.setattr(FakeStore, "watch", watch)
        await store.put("configs", "main", unstructure(make_config(2)))
        await running.wait_until(lambda: failed)
        await store.put("configs", "main", unstructure(make_config(3)))
        await running.wait_until(lambda: running.program._state.config.version == 3)

    run_with(None, scenario)
