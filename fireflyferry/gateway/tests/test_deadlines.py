"""Age of callers' requests, estimated from deadlines that differ between callers."""

import random

from fireflyferry.gateway.deadlines import RouteDeadlines


def test_first_requests_with_different_deadlines_have_no_age():
    """Guards against first requests that count as late retries.

    Load pattern: each caller names a deadline of its own, up to 15% below the longest.
    """
    rng = random.Random(1)
    deadlines = RouteDeadlines()
    ages = [deadlines.request_age_s("r", rng.randint(1275, 1500)) for _ in range(1000)]
    assert ages == [0.0] * 1000


def test_caller_that_comes_back_has_an_age():
    rng = random.Random(1)
    deadlines = RouteDeadlines()
    for _ in range(100):
        deadlines.request_age_s("r", rng.randint(1275, 1500))
    age_s = deadlines.request_age_s("r", 900)
    assert 0.37 < age_s < 0.6


def test_one_caller_with_a_long_deadline_does_not_make_the_others_late():
    """Guards against an estimate that a single unusual caller spoils for all."""
    deadlines = RouteDeadlines()
    for _ in range(20):
        deadlines.request_age_s("r", 1500)
    deadlines.request_age_s("r", 86_400_000)
    assert deadlines.request_age_s("r", 1400) == 0.0


def test_first_deadlines_are_known_while_two_thirds_of_the_callers_come_back():
    """Guards against an estimate that forgets the first deadlines under overload.

    Load pattern: each caller is refused twice and returns.
    """
    rng = random.Random(1)
    deadlines = RouteDeadlines()
    for _ in range(300):
        assert deadlines.request_age_s("r", rng.randint(1275, 1500)) == 0.0
        deadlines.request_age_s("r", rng.randint(800, 1000))
        deadlines.request_age_s("r", rng.randint(300, 600))
    assert deadlines.request_age_s("r", 900) > 0.3


def test_routes_are_independent():
    deadlines = RouteDeadlines()
    deadlines.request_age_s("slow", 8000)
    assert deadlines.request_age_s("fast", 1000) == 0.0
