"""Text reports of load results and of comparisons."""

from collections.abc import Iterator

from fireflyferry.experiments.load_result import LoadResult

__all__ = ["compare", "report"]


def report(result: LoadResult) -> str:
    """Return a text report of one result."""
    return "\n".join(_report_lines(result)) + "\n"


def _report_lines(result: LoadResult) -> Iterator[str]:
    scenario, generator = result.scenario, result.generator
    yield f"run {result.label or result.started}: {len(result.targets)} targets"
    yield (
        f"  {scenario.rate_per_s:g} requests/s for {scenario.duration_s:g} s, "
        f"{scenario.arrivals} arrivals, seed {scenario.seed}"
    )
    yield f"sent {result.sent}, answered {result.answered} ({_answered_share(result)})"
    for title, counts in (
        ("refused", result.refused),
        ("unknown", result.unknown),
        ("wrong", result.wrong),
    ):
        yield f"{title} {sum(counts.values())}"
        yield from (f"  {name:32} {counts[name]:8}" for name in sorted(counts))
    yield "latency of good answers from the intended send time, ms"
    yield f"  {'':32} {'count':>8} {'p50':>9} {'p99':>9} {'p99.9':>9} {'max':>9}"
    for name, each in result.latency.items():
        values = (each.p50_ms, each.p99_ms, each.p99_9_ms, each.max_ms)
        yield f"  {name:32} {each.count:8} " + " ".join(f"{value:9.2f}" for value in values)
    yield from _gap_lines(result)
    yield from _execution_lines(result)
    yield (
        f"generator lag p50 {generator.lag_p50_ms:.2f} ms, p99 {generator.lag_p99_ms:.2f} ms, "
        f"max {generator.lag_max_ms:.2f} ms; {generator.senders} senders; "
        f"max in flight {generator.peak_in_flight}; "
        f"retried at another target after a refused connection {generator.connect_failovers}"
    )
    violations = {name: count for name, count in result.violations().items() if count}
    yield f"violations: {', '.join(f'{n} {c}' for n, c in violations.items()) or 'none'}"
    examples = (*result.ownership.examples, *result.executions.examples, *result.examples)
    yield from (f"  {text}" for text in examples)


def _gap_lines(result: LoadResult) -> Iterator[str]:
    gaps = result.key_gaps
    yield (
        f"unavailable time per key: {gaps.keys_with_failures} of {gaps.keys} keys, "
        f"p50 {gaps.p50_s:.3f} s, p99 {gaps.p99_s:.3f} s, max {gaps.max_s:.3f} s "
        f"(longest gap with or without failures {gaps.longest_quiet_gap_s:.3f} s)"
    )
    for each in gaps.worst[:5]:
        yield f"  {each.key:32} {each.gap_s:8.3f} s, {each.failures} failed"


def _execution_lines(result: LoadResult) -> Iterator[str]:
    found = result.executions
    if not found.upstreams:
        yield "executions: not requested; ran twice, lost and false refusals are unknown"
        return
    yield (
        f"executions at {found.upstreams} upstreams: {found.runs} executions, "
        f"ran twice {found.ran_twice}, lost {found.lost}, "
        f"false refusals {found.false_refusals}, idempotent but repeated {found.repeated}"
    )
    if found.missing:
        yield f"  no count from {', '.join(found.missing)}; the figures are lower bounds"
    owned = result.ownership
    yield f"ownership: {owned.holdings} holdings, {owned.overlaps} overlaps of two owners"
    if owned.missing:
        yield f"  no log from {', '.join(owned.missing)}; its overlaps are unknown"


def _answered_share(result: LoadResult) -> str:
    return f"{100 * result.answered / result.sent:.3f}%" if result.sent else "none sent"


def _figures(result: LoadResult) -> dict[str, float]:
    latency = result.latency.get("all")
    elapsed_s = result.generator.elapsed_s or 1.0
    figures = {
        "sent": result.sent,
        "answered": result.answered,
        "answered per s": result.answered / elapsed_s,
        "refused": sum(result.refused.values()),
        "unknown": sum(result.unknown.values()),
        "wrong": sum(result.wrong.values()),
        "p50 ms": latency.p50_ms if latency else 0.0,
        "p99 ms": latency.p99_ms if latency else 0.0,
        "p99.9 ms": latency.p99_9_ms if latency else 0.0,
        "keys with failures": result.key_gaps.keys_with_failures,
        "unavailable p99 s": result.key_gaps.p99_s,
        "unavailable max s": result.key_gaps.max_s,
        "generator lag p99 ms": result.generator.lag_p99_ms,
    }
    return figures | result.violations()


def compare(before: LoadResult, after: LoadResult) -> str:
    """Return a text comparison of two results."""
    lines = [f"{'':28} {before.label or 'A':>14} {after.label or 'B':>14} {'change':>10}"]
    if before.scenario != after.scenario:
        lines.append("note: the scenarios differ, so the figures are not directly comparable")
    first, second = _figures(before), _figures(after)
    for name, old in first.items():
        new = second[name]
        change = f"{100 * (new - old) / old:+.1f}%" if old else ("0" if new == old else "new")
        lines.append(f"{name:28} {old:14.2f} {new:14.2f} {change:>10}")
    return "\n".join(lines) + "\n"
