"""Plots of load results; needs matplotlib."""

from hdrh.histogram import HdrHistogram

from fireflyferry.errors import FireflyferryError
from fireflyferry.experiments.load_result import LoadResult

__all__ = ["PlotsUnavailableError", "save_plots"]


class PlotsUnavailableError(FireflyferryError):
    """The optional plotting library is not installed."""

    code = "plots_unavailable"


PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99)


def save_plots(results: tuple[LoadResult, ...], path: str) -> None:
    """Save the latency percentiles and a timeline of each run as PNG.

    Raises PlotsUnavailableError without matplotlib, and OSError if the file cannot be written.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise PlotsUnavailableError(
            "matplotlib is not installed; install fireflyferry[plots]"
        ) from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = 1 + len(results)
    figure, axes = pyplot.subplots(rows, 1, figsize=(9, 3.5 * rows), layout="constrained")
    _plot_percentiles(axes[0], results)
    for axis, result in zip(axes[1:], results, strict=True):
        _plot_timeline(axis, result)
    figure.savefig(path, format="png", dpi=110)
    pyplot.close(figure)


def _plot_percentiles(axis, results: tuple[LoadResult, ...]) -> None:
    for number, result in enumerate(results):
        for name, latency in result.latency.items():
            if not latency.histogram or (len(results) > 1 and name != "all"):
                continue
            histogram = HdrHistogram.decode(latency.histogram)
            values = [histogram.get_value_at_percentile(each) / 1000 for each in PERCENTILES]
            label = name if len(results) == 1 else result.label or "AB"[number]
            axis.plot(
                [1 / (1 - each / 100) for each in PERCENTILES], values, "o-", ms=3, label=label
            )
    axis.set_xscale("log")
    axis.set_yscale("log")
    ticks = (1, 2, 10, 100, 1000, 10000)
    axis.set_xticks(ticks, [f"{100 - 100 / each:g}%" for each in ticks])
    axis.set(xlabel="percentile", ylabel="latency, ms", title="Latency from intended send time")
    axis.grid(alpha=0.3)
    if axis.has_data():
        axis.legend()


def _plot_timeline(axis, result: LoadResult) -> None:
    times = range(len(result.seconds))
    names = ("answered", "refused", "unknown", "wrong")
    series = [[getattr(second, name) for second in result.seconds] for name in names]
    axis.stackplot(
        times, *series, labels=names, step="post", colors=("#4c9a5f", "#e0a030", "#888", "#c03030")
    )
    axis.set(xlabel="time, s", ylabel="requests per s", title=result.label or result.started)
    axis.legend(loc="lower left")
    slowest = axis.twinx()
    slowest.plot(times, [second.max_ms for second in result.seconds], color="black", lw=0.8)
    slowest.set_ylabel("slowest good answer, ms")
    slowest.set_ylim(bottom=0)
