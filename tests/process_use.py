"""What a process uses: its memory, what lies in its sockets, and its descriptors."""

import ipaddress
import os
from dataclasses import dataclass

TCP_FILE = "/proc/net/tcp"
# Fields of a line of `TCP_FILE`.
LOCAL_FIELD = 1
QUEUES_FIELD = 4
INODE_FIELD = 9


@dataclass(frozen=True)
class ProcessUse:
    """Sizes in bytes at one moment.

    `unread_bytes` have arrived and not been read, also on connections that are not
    accepted yet; `untaken_bytes` were sent and not acknowledged.
    """

    resident_bytes: int = 0
    unread_bytes: int = 0
    untaken_bytes: int = 0
    descriptors: int = 0

    @property
    def total_bytes(self):
        """All that counts for the memory of the process."""
        return self.resident_bytes + self.unread_bytes + self.untaken_bytes


def read_use(pid, address):
    """Return the use of a process all of whose listeners have one IP address.

    Without such a process, the use is empty.
    """
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        inodes, descriptors = _list_sockets(pid)
    except OSError:
        return ProcessUse()
    unread = untaken = 0
    # In the order of the bytes that the kernel prints.
    local = f"{int.from_bytes(ipaddress.ip_address(address).packed, 'little'):08X}:"
    with open(TCP_FILE, encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            if fields[LOCAL_FIELD].startswith(local) or fields[INODE_FIELD] in inodes:
                # For a listener, these are numbers of connections, which are small.
                sent, _, received = fields[QUEUES_FIELD].partition(":")
                untaken += int(sent, 16)
                unread += int(received, 16)
    return ProcessUse(pages * os.sysconf("SC_PAGE_SIZE"), unread, untaken, descriptors)


def read_peak_bytes(pid):
    """Return the largest resident memory that a running process has had."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        (line,) = [each for each in file if each.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


def count_descriptors(pid):
    """Return the number of open descriptors of a process, 0 without it."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def _list_sockets(pid):
    """Return the inodes of the sockets of a process, and the number of descriptors."""
    directory = f"/proc/{pid}/fd"
    inodes = set()
    names = os.listdir(directory)
    for name in names:
        try:
            target = os.readlink(f"{directory}/{name}")
        except OSError:
            # It was closed meanwhile.
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    return inodes, len(names)
