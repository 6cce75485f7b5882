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
    """

    module: str
    count: int
    failed: tuple[str, ...]
    incomplete: bool
    output: str
    seconds: float


def list_modules() -> list[str]:
    """Return the names of all test modules, the slowest first."""
    names = [
        "tests." + os.path.basename(file).removesuffix(".py")
        for file in glob(os.path.join(os.path.dirname(__file__), "test_*.py"))
    ]
    return sorted(names, key=lambda name: (not name.startswith(SLOW_MODULES), name))


def run_module(module: str) -> ModuleResult:
    """Run one module in a process of its own and return its result."""
    started_s = time.monotonic()
    command = [sys.executable, "-m", "unittest", "-v", module]
    timeout_s = LONE_TIMEOUT_S if module in LONE_MODULES else MODULE_TIMEOUT_S
    try:
        process = subprocess.run(
            command, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired as error:
        text = (error.stderr or b"").decode(errors="replace")
        return ModuleResult(module, 0, (), True, text, timeout_s)
    output = process.stdout + process.stderr
    summary = re.search(r"^Ran (\d+) tests?", output, re.MULTILINE)
    failed = tuple(re.findall(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", output, re.MULTILINE))
    incomplete = summary is None or (process.returncode != 0 and not failed)
    count = int(summary.group(1)) if summary else 0
    return ModuleResult(
        module, count, failed, incomplete, output, time.monotonic() - started_s
    )


def read_known_failures() -> set[str]:
    """Return the tests that `KNOWN-RED.txt` names at the start of a line."""
    with open(KNOWN_RED_FILE, encoding="utf-8") as file:
        return set(re.findall(r"^(tests\.\S+)", file.read(), re.MULTILINE))


def main(arguments: list[str]) -> int:
    """Run modules, print the failures and the totals; return the exit status."""
    modules = arguments or list_modules()
    workers = max(1, int((os.cpu_count() or 1) * WORKERS_PER_CORE))
    with ThreadPoolExecutor(workers) as pool:
        shared = [each for each in modules if each not in LONE_MODULES]
        results = list(pool.map(run_module, shared))
    results += [run_module(each) for each in modules if each in LONE_MODULES]
    known_failures = read_known_failures()
    failed = [name for result in results for name in result.failed]
    unexpected = [name for name in failed if name not in known_failures]
    incomplete = [result.module for result in results if result.incomplete]
    for result in results:
        if result.incomplete or any(name in unexpected for name in result.failed):
            print(f"==== {result.module}\n{result.output}")
    for name in failed:
        if name in known_failures:
            print(f"known red: {name}")
    for module in incomplete:
        print(f"did not finish: {module}")
    slowest = sorted(results, key=lambda result: -result.seconds)[:3]
    print(
        "slowest: "
        + ", ".join(f"{each.module} {each.seconds:.0f} s" for each in slowest)
    )
    count = sum(result.count for result in results)
    print(f"{count - len(failed)} passed, {len(unexpected) + len(incomplete)} failed")
    return 1 if unexpected or incomplete or not count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
