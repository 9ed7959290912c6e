"""Judgement on the path to upstreams.

Guards against a VM that keeps requests although it reaches no upstream, and against one that gives
its upstreams away because some of them fail.
"""

import attrs
import pytest

from fireflyferry.balancing import Contact, Upstream, UpstreamPath
from fireflyferry.keyranges import UpstreamRun

TICK_S = 0.05
CONNECT_TIMEOUT_S = 0.4
SERVICE_S = 0.05

UPSTREAMS = [
    Upstream(UpstreamRun(f"{pool}{number}", 1), pool, f"10.0.{number}.1:1", f"dc-{number % 2}", 2)
    for pool in ("a", "b")
    for number in range(4)
]
ALL = frozenset(each.run.upstream_id for each in UPSTREAMS)
POOL_A = frozenset(name for name in ALL if name.startswith("a"))
DATA_CENTRE_0 = frozenset(each.run.upstream_id for each in UPSTREAMS if each.data_centre == "dc-0")


@attrs.define
class Network:
    """A VM that sends a request to the next of `used` each 0.1 s, and its network.

    Upstreams of `down` hang, reset or refuse, by `form`, from 1 s on; `up_at_s` ends that.
    """

    form: str
    down: frozenset
    used: tuple = tuple(sorted(ALL))
    up_at_s: float = float("inf")
    answers_at_s: tuple = ()
    down_at_s: float = 1.0
    path: UpstreamPath = attrs.field(factory=UpstreamPath)
    events: list = attrs.field(factory=list)
    connects: int = 0
    lost_spans: list = attrs.field(factory=list)

    def is_down(self, now_s, upstream):
        if any(at_s <= now_s < at_s + 0.5 for at_s in self.answers_at_s):
            return False
        return upstream.run.upstream_id in self.down and self.down_at_s <= now_s < self.up_at_s

    def play(self, until_s=4.0):
        ticks = round(until_s / TICK_S)
        for tick in range(ticks):
            now_s = tick * TICK_S
            if self.used and tick % 2 == 0 and not self.path.lost:
                self.send(now_s, tick // 2)
            for event in sorted((each for each in self.events if each[0] <= now_s), key=first):
                self.events.remove(event)
                event[1](event[0])
            for upstream in self.path.due_checks(now_s, UPSTREAMS):
                self.connect(now_s, upstream)
            if self.path.lost != (bool(self.lost_spans) and self.lost_spans[-1][1] is None):
                if self.path.lost:
                    self.lost_spans.append((now_s, None))
                else:
                    self.lost_spans[-1] = (self.lost_spans[-1][0], now_s)
        return self.lost_spans

    def send(self, now_s, number):
        name = self.used[number % len(self.used)]
        upstream = next(each for each in UPSTREAMS if each.run.upstream_id == name)
        request = self.path.start(now_s, upstream, SERVICE_S)
        took_s, contact = SERVICE_S, Contact.ANSWERED_KEPT
        if self.is_down(now_s, upstream):
            took_s, contact = {
                "hang": (2.0, Contact.NO_ANSWER),
                "reset": (0.0, Contact.NO_ANSWER),
                "refuse": (0.0, Contact.NOT_CONNECTED),
                # Kept connections still work; half of the upstreams have one.
                "refuse new": [(SERVICE_S, Contact.ANSWERED_KEPT), (0.0, Contact.NOT_CONNECTED)][
                    number % 2
                ],
            }[self.form]
        self.events.append((now_s + took_s, lambda at_s: self.path.end(at_s, request, contact)))

    def connect(self, now_s, upstream):
        self.connects += 1
        opens = not self.is_down(now_s, upstream)
        took_s = CONNECT_TIMEOUT_S if self.form == "hang" and not opens else 0.0
        self.events.append(
            (now_s + took_s, lambda at_s: self.path.on_check(at_s, upstream, opens, UPSTREAMS))
        )


def first(pair):
    return pair[0]


@pytest.mark.parametrize(
    ("form", "used"),
    [
        ("refuse new", tuple(sorted(ALL))),
        *((form, used) for form in ("hang", "reset", "refuse") for used in (sorted(ALL), ["a1"])),
    ],
)
def test_path_to_all_upstreams_is_lost_within_a_second_and_a_half(form, used):
    network = Network(form, ALL, used, up_at_s=3.0)
    ((lost_s, regained_s),) = network.play()
    assert 1.0 <= lost_s <= 2.5 and 3.0 <= regained_s <= 4.0
    assert network.connects <= 20


@pytest.mark.parametrize("form", ["hang", "reset", "refuse", "refuse new"])
@pytest.mark.parametrize(
    ("down", "used", "max_connects"),
    [
        (frozenset({"a1"}), sorted(ALL), 20),
        (frozenset({"a1"}), ["a1"], 20),
        (POOL_A, sorted(ALL), 20),
        (POOL_A, sorted(POOL_A), 20),
        (DATA_CENTRE_0, sorted(DATA_CENTRE_0), 20),
    ],
)
def test_path_is_kept_while_another_pool_or_data_centre_can_be_connected(
    form, down, used, max_connects
):
    network = Network(form, down, used)
    assert network.play(10.0) == [] and network.connects <= max_connects


def test_path_is_regained_in_the_round_of_checks_that_reaches_the_only_upstream_left():
    network = Network("refuse", ALL - {"b3"})
    spans = network.play(20.0)
    assert all(until_s - since_s <= 0.5 * len(ALL) + TICK_S for since_s, until_s in spans[:-1])


def test_vm_without_requests_tries_no_connects():
    network = Network("hang", ALL, used=())
    assert network.play() == [] and network.connects == 0


def test_one_opened_connection_regains_the_path_and_its_loss_is_judged_anew():
    network = Network("refuse", ALL, answers_at_s=(2.5, 4.5))
    spans = network.play(6.0)
    assert len(spans) == 3
    for (since_s, _), expected_s in zip(spans, (1.0, 2.5, 4.5), strict=True):
        assert expected_s <= since_s <= expected_s + 1.5


@pytest.mark.parametrize("form", ["hang", "reset"])
def test_failures_of_one_upstream_beside_answers_of_others_cause_no_connects(form):
    network = Network(form, frozenset({"a1"}))
    assert network.play(10.0) == [] and network.connects == 0


def test_failed_connects_to_one_upstream_cause_checks_beside_answers_of_others():
    """Guards against requests that fail because only their upstream has no kept connection."""
    path = UpstreamPath()
    for now_s, upstream, contact in (
        (0.9, UPSTREAMS[1], Contact.ANSWERED_KEPT),
        (1.0, UPSTREAMS[0], Contact.NOT_CONNECTED),
        (1.1, UPSTREAMS[1], Contact.ANSWERED_KEPT),
        (1.2, UPSTREAMS[0], Contact.NOT_CONNECTED),
    ):
        assert not path.is_check_due(now_s)
        path.end(now_s, path.start(now_s, upstream, SERVICE_S), contact)
    assert path.is_check_due(1.3) and len(path.due_checks(1.3, UPSTREAMS)) == 3


def test_slow_answers_are_not_overdue():
    path = UpstreamPath()
    path.start(0.0, UPSTREAMS[0], 1.0)
    assert path.due_checks(3.9, UPSTREAMS) == [] and len(path.due_checks(4.1, UPSTREAMS)) == 3


def test_two_checks_differ_in_pool_and_data_centre():
    path = UpstreamPath()
    path.start(0.0, UPSTREAMS[0], SERVICE_S)
    checks = path.due_checks(1.0, UPSTREAMS)
    assert len({each.pool for each in checks[:2]}) == 2
    assert len({each.data_centre for each in checks[:2]}) == 2


@pytest.mark.parametrize(
    ("known", "failed", "lost"),
    [
        (["a0", "a1"], ["a0"], False),
        (["a0", "a1"], ["a0", "a1"], True),
        (["a0", "a1", "a2", "a3"], ["a0", "a1"], False),
        (["a0", "a1", "a2", "a3"], ["a0", "a1", "a2"], True),
        (sorted(ALL), ["a0", "a1", "a2"], False),
        (sorted(ALL), ["a0", "b0", "a2", "b2"], False),
        (sorted(ALL), ["a0", "a1", "b2"], True),
    ],
)
def test_failed_connects_must_be_as_many_and_as_varied_as_the_known_upstreams(known, failed, lost):
    by_id = {each.run.upstream_id: each for each in UPSTREAMS}
    path, upstreams = UpstreamPath(), [by_id[name] for name in known]
    for name in failed:
        path.on_check(1.0, by_id[name], False, upstreams)
    assert path.lost is lost
