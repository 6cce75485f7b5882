"""Runs the test modules in parallel processes and adds up their results.

``python -m tests.parallel`` takes names of modules, such as ``tests.test_wire``;
without names it runs all. Tests listed in ``KNOWN-RED.txt`` may fail.
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
# Each module mostly waits for timers, so more run at once than there are cores.
WORKERS_PER_CORE = 1.5
# Modules that take longest start first.
SLOW_MODULES = ("tests.test_control", "tests.test_entry_", "tests.test_processes")
RED_FILE = "KNOWN-RED.txt"


@dataclass(frozen=True)
class ModuleResult:
    """Outcome of one module.

    Parameters
    ----------
    module : str
        Dotted name.
    count : int
        Tests that ran.
    failed : tuple of str
        Names of the tests that failed.
    broken : bool
        Whether the process ended in another way than by a verdict on each test.
    output : str
        What the module printed.
    seconds : float
        Time it took.
    """

    module: str
    count: int
    failed: tuple[str, ...]
    broken: bool
    output: str
    seconds: float


def list_modules() -> list[str]:
    """Return all test modules, those that take longest first."""
    names = [
        "tests." + os.path.basename(file).removesuffix(".py")
        for file in glob(os.path.join(os.path.dirname(__file__), "test_*.py"))
    ]
    return sorted(names, key=lambda name: (not name.startswith(SLOW_MODULES), name))


def run_module(module: str) -> ModuleResult:
    """Run one module in a process of its own."""
    started_s = time.monotonic()
    command = [sys.executable, "-m", "unittest", "-v", module]
    try:
        process = subprocess.run(
            command, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        text = (error.stderr or b"").decode(errors="replace")
        return ModuleResult(module, 0, (), True, text, MODULE_TIMEOUT_S)
    output = process.stdout + process.stderr
    ran = re.search(r"^Ran (\d+) tests?", output, re.MULTILINE)
    failed = tuple(re.findall(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", output, re.MULTILINE))
    broken = ran is None or (process.returncode != 0 and not failed)
    count = int(ran.group(1)) if ran else 0
    return ModuleResult(
        module, count, failed, broken, output, time.monotonic() - started_s
    )


def read_known_red() -> set[str]:
    """Return the tests that `KNOWN-RED.txt` names at the start of a line."""
    with open(RED_FILE, encoding="utf-8") as file:
        return set(re.findall(r"^(tests\.\S+)", file.read(), re.MULTILINE))


def main(arguments: list[str]) -> int:
    """Run modules, print what failed and the totals; return the exit status."""
    modules = arguments or list_modules()
    workers = max(1, int((os.cpu_count() or 1) * WORKERS_PER_CORE))
    with ThreadPoolExecutor(workers) as pool:
        results = list(pool.map(run_module, modules))
    known = read_known_red()
    failed = [name for result in results for name in result.failed]
    unexpected = [name for name in failed if name not in known]
    broken = [result.module for result in results if result.broken]
    for result in results:
        if result.broken or any(name in unexpected for name in result.failed):
            print(f"==== {result.module}\n{result.output}")
    for name in failed:
        if name in known:
            print(f"known red: {name}")
    for module in broken:
        print(f"did not finish: {module}")
    slowest = sorted(results, key=lambda result: -result.seconds)[:3]
    print(
        "slowest: "
        + ", ".join(f"{each.module} {each.seconds:.0f} s" for each in slowest)
    )
    count = sum(result.count for result in results)
    print(f"{count - len(failed)} passed, {len(unexpected) + len(broken)} failed")
    return 1 if unexpected or broken or not count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
