"""The command `buckthorndealctl`: reads and changes the operating document."""

import sys
import time
from collections.abc import Awaitable, Callable

import curio
from absl import app, flags

from buckthorndeal import operations
from buckthorndeal.control._models import StatusBody
from buckthorndeal.errors import RequestError
from buckthorndeal.operations import ControlClient
from buckthorndeal.settings import PeerAddress
from buckthorndeal.statemachine import (
    ChangeAccepted,
    ChangeAnswer,
    ChangeConflict,
    ChangeForbidden,
    ChangeInvalid,
)
from buckthorndeal.traces import format_trace, read_lines, select_trace
from buckthorndeal.transport import create_socket_transport

__all__ = ["define_flags", "main", "run"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_IN_FORCE = 3

USAGE = """Commands:
  get [SECTION]           list the sections, or print the text of one
  edit SECTION FILE       write a section to FILE to edit it there
  diff FILE               show what FILE changes
  apply FILE              send FILE as a change; safe to repeat
  history [SECTION]       list accepted changes
  status                  list hosts and the revision in force on them
  rotate-key              replace the key in --key_file
  trace ID FILE...        join the log lines of a request from several hosts
"""


def define_flags() -> None:
    """Define the flags of the command."""
    flags.DEFINE_multi_string(
        "control",
        ["control-1=127.0.0.1:8070"],
        "Control host as NAME=ADDRESS:PORT; repeat for each host.",
    )
    flags.DEFINE_string("key_file", "team.key", "File with the key of your team.")
    flags.DEFINE_bool("wait", False, "After apply, wait until it is in force.")
    flags.DEFINE_float("wait_timeout_s", 30.0, "Longest wait of --wait, in seconds.")
    flags.DEFINE_float(
        "timeout_s", 15.0, "Maximum time of a request with its retries, in seconds."
    )
    flags.DEFINE_integer("limit", 20, "Maximum number of changes that history lists.")


def parse_address(text: str) -> PeerAddress:
    """Parse a control host given as NAME=ADDRESS:PORT."""
    host, separator, rest = text.partition("=")
    address, colon, port = rest.rpartition(":")
    if not (separator and colon and port.isdigit()):
        raise app.UsageError(f"--control={text}: expected NAME=ADDRESS:PORT")
    return PeerAddress(host=host, address=address.strip("[]"), port=int(port))


async def _get(client: ControlClient, arguments: list[str]) -> int:
    if arguments:
        body = await operations.get_section(client, arguments[0])
        sys.stdout.write(body.text)
        return 0
    document = await operations.get_document(client)
    print(f"revision {document.revision}")
    for each in document.sections:
        print(f"{each.section}\trevision {each.revision}\towner {each.owner}")
    return 0


async def _edit(client: ControlClient, arguments: list[str]) -> int:
    section, file = arguments
    body = await operations.edit_section(client, section, file)
    print(f"{file}: section {section} at revision {body.revision}")
    return 0


async def _diff(client: ControlClient, arguments: list[str]) -> int:
    answer = await operations.diff_file(client, arguments[0])
    sys.stdout.write(answer.diff)
    if answer.invalid:
        print(f"not valid: {answer.invalid}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


async def _apply(client: ControlClient, arguments: list[str]) -> int:
    answer = await operations.apply_file(client, arguments[0])
    status = _print_answer(answer)
    if status or not flags.FLAGS.wait:
        return status
    return await _wait(client, answer.revision)


async def _wait(client: ControlClient, revision: int) -> int:
    timeout_s = flags.FLAGS.wait_timeout_s
    report = await operations.wait_in_force(client, revision, timeout_s)
    print(f"in force on: {', '.join(report.in_force) or 'no host'}")
    if report.unreachable:
        print(f"cannot be reached: {', '.join(report.unreachable)}")
    if report.behind:
        print(f"not yet in force on: {', '.join(report.behind)}")
    return EXIT_NOT_IN_FORCE if report.behind or not report.in_force else 0


async def _history(client: ControlClient, arguments: list[str]) -> int:
    section = arguments[0] if arguments else None
    body = await operations.list_history(client, section, flags.FLAGS.limit)
    for entry in body.entries:
        accepted_at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.time_s))
        print(
            f"{entry.revision}\t{accepted_at} UTC\t{entry.author}\t"
            f"{entry.section}@{entry.section_revision}\t{entry.change_id}"
        )
        sys.stdout.write(entry.diff)
    return 0


async def _status(client: ControlClient, arguments: list[str]) -> int:
    statuses = await operations.list_status(client)
    for name, status in statuses.items():
        if status is None:
            print(f"{name}\tcannot be reached")
            continue
        print(f"{name}\t{status.role}\tterm {status.term}\tleader {status.leader}")
        for host in status.hosts:
            silence = "" if host.reachable else f"\tsilent for {host.silent_s:.0f} s"
            print(f"  {host.host}\t{host.kind}\trevision {host.revision}{silence}")
    _print_leader_status(list(statuses.values()))
    return 0 if any(statuses.values()) else EXIT_REFUSED


def _print_leader_status(statuses: list[StatusBody | None]) -> None:
    leaders = [each for each in statuses if each and each.role == "leader"]
    if not leaders:
        print("no leader answers: changes cannot be accepted")
        return
    # A partitioned host may still report that it is the leader of an earlier term.
    current = max(leaders, key=lambda each: each.term)
    for member in current.members:
        print(f"replica {member.host}\t{member.standing}")
    for view in current.views:
        backup = view.backup or "none"
        print(f"claims of {view.region}\tprimary {view.primary}\tbackup {backup}")
    for lease in current.leases:
        print(f"lease {lease.name}\tholder {lease.holder or 'none'}")


def _print_answer(answer: ChangeAnswer) -> int:
    """Print the answer to a change and return the exit status."""
    if isinstance(answer, ChangeAccepted):
        print(
            f"accepted: {answer.section} revision {answer.section_revision}, "
            f"document revision {answer.revision}"
        )
        return 0
    if isinstance(answer, ChangeConflict):
        print(
            f"conflict: team {answer.winner_author!r} made revision "
            f"{answer.winner_revision} of {answer.section}; edit it again",
            file=sys.stderr,
        )
        sys.stdout.write(answer.diff)
    elif isinstance(answer, ChangeInvalid):
        print(
            f"not valid: section {answer.section}: {answer.path}: {answer.reason}",
            file=sys.stderr,
        )
    elif isinstance(answer, ChangeForbidden):
        print(f"refused: {answer.reason}", file=sys.stderr)
    return EXIT_REFUSED


Command = Callable[[ControlClient, list[str]], Awaitable[int]]

# Function of each command, and its minimum and maximum number of arguments.
COMMANDS: dict[str, tuple[Command, int, int]] = {
    "get": (_get, 0, 1),
    "edit": (_edit, 2, 2),
    "diff": (_diff, 1, 1),
    "apply": (_apply, 1, 1),
    "history": (_history, 0, 1),
    "status": (_status, 0, 0),
}


def _create_client(key: str) -> ControlClient:
    addresses = tuple(parse_address(each) for each in flags.FLAGS.control)
    return operations.create_control_client(
        create_socket_transport(), addresses, key, flags.FLAGS.timeout_s
    )


async def _run_command(name: str, arguments: list[str]) -> int:
    if name == "rotate-key":
        answer = await operations.rotate_key(_create_client, flags.FLAGS.key_file)
        return _print_answer(answer)
    client = _create_client(operations.read_key(flags.FLAGS.key_file))
    try:
        return await COMMANDS[name][0](client, arguments)
    finally:
        await client.close()


def _trace(request_id: str, files: list[str]) -> int:
    """Print the timeline of a request from the logs of several hosts."""
    lines = []
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as stream:
                lines.extend(read_lines(stream))
        except OSError as error:
            print(f"{file}: {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
    trace = select_trace(lines, request_id)
    if not any(line.fields.get("request_id") == request_id for line in trace):
        print(f"no log line has the request id {request_id}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(format_trace(trace, request_id)))
    return 0


def main(arguments: list[str]) -> int:
    """Run one command and return the exit status."""
    name, *rest = arguments[1:] or [""]
    if name == "trace" and len(rest) > 1:
        return _trace(rest[0], rest[1:])
    _, min_arguments, max_arguments = COMMANDS.get(name, (None, 0, 0))
    known = name in COMMANDS or name == "rotate-key"
    if not known or not min_arguments <= len(rest) <= max_arguments:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        return curio.run(_run_command, name, rest)
    except RequestError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
    except OSError as error:
        print(error, file=sys.stderr)
    return EXIT_REFUSED


def run() -> None:
    """Parse the flags and run the command."""
    define_flags()
    # absl shows the docstring of the main module as the help text.
    sys.modules["__main__"].__doc__ = f"Usage: buckthorndealctl COMMAND\n\n{USAGE}"
    app.run(main)


if __name__ == "__main__":
    run()
