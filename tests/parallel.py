"""Runs the test modules in parallel processes and sums up their results.

``python -m tests.parallel`` takes names of modules, such as ``tests.test_wire``;
without names it runs all modules. Tests listed in ``KNOWN-RED.txt`` may fail.
"""

import os
import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from glob import glob

from tests.machine_pressure import Pressure, format_pressure, read_pressure

MODULE_TIMEOUT_S = 240
LONE_TIMEOUT_S = 900
# The modules mostly wait for timers, so more of them run at once than there are cores.
WORKERS_PER_CORE = 1.5
# Prefixes of the slowest modules, which are started first.
SLOW_MODULES = ("tests.test_control", "tests.test_entry_", "tests.test_processes")
# Modules that measure the memory of processes; each is run alone, after the others.
LONE_MODULES = (
    "tests.test_gateway_clients",
    "tests.test_coordinator_clients",
    "tests.test_name_play",
)
KNOWN_RED_FILE = "KNOWN-RED.txt"


@dataclass(frozen=True)
class ModuleResult:
    """Result of one test module.

    Parameters
    ----------
    module : str
        Dotted name.
    count : int
        Number of tests that ran.
    failed : tuple of str
        Dotted names of the tests that failed.
    incomplete : bool
        Whether the process ended without a result for each test.
    output : str
        Standard output and standard error of the module.
    seconds : float
        Duration of the run.
    before, after : Pressure
        Waits of the whole machine when the run began and when it ended.
    """

    module: str
    count: int
    failed: tuple[str, ...]
    incomplete: bool
    output: str
    seconds: float
    before: Pressure
    after: Pressure


def list_modules() -> list[str]:
    """Return the names of all test modules, the slowest first."""
    names = [
        "tests." + os.path.basename(file).removesuffix(".py")
        for file in glob(os.path.join(os.path.dirname(__file__), "test_*.py"))
    ]
    return sorted(names, key=lambda name: (not name.startswith(SLOW_MODULES), name))


def run_module(module: str) -> ModuleResult:
    """Run one module in a process of its own and return its result."""
    started_s, before = time.monotonic(), read_pressure()
    command = [sys.executable, "-m", "unittest", "-v", module]
    timeout_s = LONE_TIMEOUT_S if module in LONE_MODULES else MODULE_TIMEOUT_S
    try:
        process = subprocess.run(
            command, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired as error:
        text = (error.stderr or b"").decode(errors="replace")
        after = read_pressure()
        return ModuleResult(module, 0, (), True, text, timeout_s, before, after)
    output = process.stdout + process.stderr
    summary = re.search(r"^Ran (\d+) tests?", output, re.MULTILINE)
    failed = tuple(re.findall(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", output, re.MULTILINE))
    incomplete = summary is None or (process.returncode != 0 and not failed)
    count = int(summary.group(1)) if summary else 0
    seconds = time.monotonic() - started_s
    after = read_pressure()
    return ModuleResult(
        module, count, failed, incomplete, output, seconds, before, after
    )


def read_known_failures() -> set[str]:
    """Return the tests that `KNOWN-RED.txt` names at the start of a line."""
    with open(KNOWN_RED_FILE, encoding="utf-8") as file:
        return set(re.findall(r"^(tests\.\S+)", file.read(), re.MULTILINE))


def format_summary(results: list[ModuleResult], known: set[str]) -> list[str]:
    """Return the last lines of a run; they name all that failed.

    Parameters
    ----------
    results : list of ModuleResult
        Results of all modules.
    known : set of str
        Tests that may fail.

    Returns
    -------
    list of str
        Lines with the waits of the machine while such a module ran; the totals last.
    """
    lines = [
        f"known red: {name}"
        for result in results
        for name in result.failed
        if name in known
    ]
    unexpected = 0
    for result in results:
        waits = format_pressure(result.before, result.after)
        names = [f"failed: {each}" for each in result.failed if each not in known]
        if result.incomplete:
            names.append(f"did not finish: {result.module}")
        unexpected += len(names)
        lines += [f"{each} ({waits})" for each in names]
    slowest = sorted(results, key=lambda result: -result.seconds)[:3]
    slow = ", ".join(f"{each.module} {each.seconds:.0f} s" for each in slowest)
    passed = sum(result.count - len(result.failed) for result in results)
    return [*lines, f"slowest: {slow}", f"{passed} passed, {unexpected} failed"]


def main(arguments: list[str]) -> int:
    """Run modules, print the failures and the totals; return the exit status."""
    modules = arguments or list_modules()
    workers = max(1, int((os.cpu_count() or 1) * WORKERS_PER_CORE))
    before = read_pressure()
    with ThreadPoolExecutor(workers) as pool:
        shared = [each for each in modules if each not in LONE_MODULES]
        results = list(pool.map(run_module, shared))
    results += [run_module(each) for each in modules if each in LONE_MODULES]
    known = read_known_failures()
    faulty = [
        each for each in results if each.incomplete or not known.issuperset(each.failed)
    ]
    for result in faulty:
        print(f"==== {result.module}\n{result.output}")
    print(f"the machine: {format_pressure(before, read_pressure())}")
    for line in format_summary(results, known):
        print(line)
    return 1 if faulty or not any(each.count for each in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
