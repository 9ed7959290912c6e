"""Runs a fault scenario several times and writes JSON, a text report and plots.

Command: `python -m fireflyferry.experiments.faults_main SCENARIO [--customer NAME] [--runs N]`.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from fireflyferry.experiments.audit import Audit
from fireflyferry.experiments.customers import CAATINGA, PARBRETT, Customer
from fireflyferry.experiments.fault_run import FaultReport, FaultRun
from fireflyferry.experiments.faults import SCENARIOS, cut_data_centre_of, scenario_faults
from fireflyferry.experiments.load_plots import save_plots
from fireflyferry.messages import encode

__all__ = ["format_report", "main"]

CUSTOMERS = {customer.name: customer for customer in (CAATINGA, PARBRETT)}
UNAVAILABLE_TARGET_S = 5.0


def format_report(report: FaultReport) -> list[str]:
    """Return the lines of the text report."""
    found = report.audit
    return [
        f"{report.customer}",
        f"  sent                      {found.sent}",
        f"  answered                  {found.answered}",
        f"  refused by reason         {_counts(found.refused)}",
        f"  outcome unknown by reason {_counts(found.unknown)}",
        f"  ran twice                 {found.ran_twice}",
        f"  overlaps of two owners    {found.two_owners}",
        f"  lost answers              {found.lost_answers}",
        f"  refused but ran           {found.false_refusals}",
        f"  wrong answers             {found.wrong_answers}",
        *(
            f"  longest unavailable time  {gap_s:.2f} s ({name}, target "
            f"{UNAVAILABLE_TARGET_S:.0f} s)"
            for name, gap_s in report.gaps_s.items()
        ),
    ]


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def _run_once(name: str, customer: Customer, seed: int, folder: pathlib.Path) -> FaultReport:
    run = FaultRun(
        customer,
        folder,
        scenario_faults(name, customer),
        seed=seed,
        separate_upstreams=(customer.services[0].name,),
        avoid_data_centre=cut_data_centre_of(name, customer),
    )
    return asyncio.run(run.run())


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m fireflyferry.experiments.faults_main",
        description="Run a fault scenario on real processes on loopback.",
        epilog="Exit codes: 0 no violation, 1 a violation was found.",
    )
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--customer", choices=sorted(CUSTOMERS), default="caatinga")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--out", default="results", help="folder for results")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the scenario and return the exit code."""
    options = _parser().parse_args(argv)
    out = pathlib.Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    violations = 0
    for seed in range(1, options.runs + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflyferry-faults-"))
        report = _run_once(options.scenario, CUSTOMERS[options.customer], seed, folder)
        text = "\n".join(format_report(report))
        print(f"run {seed} of {options.runs}, scenario {options.scenario}\n{text}")
        name = f"{options.scenario}-{options.customer}-{seed}"
        (out / f"{name}.json").write_bytes(encode(report))
        (out / f"{name}.txt").write_text(text + "\n")
        save_plots((report.load,), str(out / f"{name}.png"))
        violations += count_violations(report.audit, report.gaps_s)
    return 1 if violations else 0


def count_violations(found: Audit, gaps_s: dict[str, float]) -> int:
    """Count the violations, including each unavailable time above the target."""
    return found.violation_count + sum(gap_s > UNAVAILABLE_TARGET_S for gap_s in gaps_s.values())


if __name__ == "__main__":
    sys.exit(main())
