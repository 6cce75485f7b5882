"""Runs the test modules in parallel processes and sums up their results.

``python -m tests.parallel`` takes names of modules, such as ``tests.test_wire``;
without names it runs all modules. Tests listed in ``KNOWN-RED.txt`` may fail.

Temporary files go to a directory in memory if there is room, else to the default of
the system; ``BUCKTHORNDEAL_TEST_DIRECTORY`` names another directory. Tests of
durability keep the default, or what ``BUCKTHORNDEAL_TEST_DURABLE_DIRECTORY`` names.
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
from tests.temporary_directories import (
    DIRECTORY_VARIABLE,
    DURABLE_VARIABLE,
    MODULE_LIMIT_BYTES,
    DirectoryError,
    ModuleDirectory,
    RunDirectory,
    check_directory,
    choose_directory,
    create_run_directory,
    format_size,
)

MODULE_TIMEOUT_S = 240
LONE_TIMEOUT_S = 900
# Time between two looks at the temporary files of a module.
SAMPLE_INTERVAL_S = 0.5
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


def run_module(module: str, run: RunDirectory) -> ModuleResult:
    """Run one module in a process of its own and return its result."""
    started_s, before = time.monotonic(), read_pressure()
    timeout_s = LONE_TIMEOUT_S if module in LONE_MODULES else MODULE_TIMEOUT_S
    with run.create_module_directory(module) as directory:
        process = subprocess.Popen(
            [sys.executable, "-m", "unittest", "-v", module],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=directory.create_environment(),
        )
        output, ended_early = wait_for_process(process, timeout_s, directory)
    seconds, after = time.monotonic() - started_s, read_pressure()
    if ended_early:
        return ModuleResult(module, 0, (), True, output, seconds, before, after)
    summary = re.search(r"^Ran (\d+) tests?", output, re.MULTILINE)
    failed = tuple(re.findall(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", output, re.MULTILINE))
    incomplete = summary is None or (process.returncode != 0 and not failed)
    count = int(summary.group(1)) if summary else 0
    return ModuleResult(
        module, count, failed, incomplete, output, seconds, before, after
    )


def wait_for_process(
    process: subprocess.Popen, timeout_s: float, directory: ModuleDirectory
) -> tuple[str, bool]:
    """Wait until a process has ended; kill it if it takes too much time or room.

    Returns
    -------
    output : str
        Output up to the end, with the reason if the process was killed.
    ended_early : bool
        Whether it was killed.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        try:
            stdout, stderr = process.communicate(timeout=SAMPLE_INTERVAL_S)
            return stdout + stderr, False
        except subprocess.TimeoutExpired as error:
            reason = directory.find_excess()
            if not reason and time.monotonic() > deadline_s:
                reason = f"it took more than {timeout_s:.0f} s"
            if reason:
                process.kill()
                process.wait()
                text = (error.stderr or b"").decode(errors="replace")
                return f"{text}\nended by the test runner: {reason}\n", True


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


def run_modules(modules: list[str], workers: int, run: RunDirectory):
    """Run modules, those that measure memory one by one; return their results."""
    with ThreadPoolExecutor(workers) as pool:
        shared = [each for each in modules if each not in LONE_MODULES]
        results = list(pool.map(lambda module: run_module(module, run), shared))
    return results + [run_module(each, run) for each in modules if each in LONE_MODULES]


def main(arguments: list[str]) -> int:
    """Run modules, print the failures and the totals; return the exit status."""
    modules = arguments or list_modules()
    workers = max(1, int((os.cpu_count() or 1) * WORKERS_PER_CORE))
    # Each module may take its share at once, so that the directory is never filled.
    needed_bytes = min(workers, len(modules)) * MODULE_LIMIT_BYTES
    durable_path = os.environ.get(DURABLE_VARIABLE, "")
    try:
        choice = choose_directory(needed_bytes, os.environ.get(DIRECTORY_VARIABLE, ""))
        if durable_path:
            check_directory(durable_path, MODULE_LIMIT_BYTES)
    except DirectoryError as error:
        print(f"temporary files: {error}", file=sys.stderr)
        return 2
    print(f"temporary files: {choice.path} ({choice.reason})", flush=True)
    before = read_pressure()
    with create_run_directory(choice.path, durable_path) as run:
        results = run_modules(modules, workers, run)
    known = read_known_failures()
    faulty = [
        each for each in results if each.incomplete or not known.issuperset(each.failed)
    ]
    for result in results:
        if result in faulty or result.failed:
            print(f"==== {result.module}\n{result.output}")
    print(f"the machine: {format_pressure(before, read_pressure())}")
    print(f"temporary files: at most {format_size(run.peak_bytes)} at once")
    for line in format_summary(results, known):
        print(line)
    return 1 if faulty or not any(each.count for each in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
