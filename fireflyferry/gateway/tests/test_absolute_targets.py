"""Guards against targets in absolute form that are answered 404 or passed on changed."""

import pytest

from fireflyferry.gateway.tests.support import request, run_with


@pytest.mark.parametrize(
    ("target", "host", "status", "passed_on"),
    [
        ("http://h/read/a?b=1", "h", 200, "/read/a?b=1"),
        ("HTTP://h:80/read/", "other", 200, "/read/"),
        ("http://h/read/http://x/", "h", 200, "/read/http://x/"),
        ("http://other/read/", "h", 404, None),
        ("http://h", "h", 404, None),
    ],
)
def test_target_in_absolute_form_is_routed_by_its_own_host(target, host, status, passed_on):
    async def scenario(running, upstream, store):
        got = await request(running.port, target, headers={"Host": host})
        assert got.status == status
        assert [each.target for each in upstream.seen] == ([passed_on] if passed_on else [])
        assert all(each.headers["host"].startswith("h") for each in upstream.seen)

    run_with(None, scenario)
