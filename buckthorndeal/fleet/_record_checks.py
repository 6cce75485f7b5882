"""Bounds of what endpoints and other writers report about themselves."""

import ipaddress
import math
from collections.abc import Iterable

from buckthorndeal.errors import BuckthorndealError
from buckthorndeal.fleet._endpoint_record import EndpointRecord
from buckthorndeal.logs import log_event

MAX_NAME_CHARS = 256
# Messages between hosts carry 64 bits.
MAX_COUNTER = 2**63 - 1
# End of the year 9999.
MAX_INCARNATION_MS = 253_402_300_799_999
MAX_SLOTS = 1_000_000
MAX_DURATION_S = 604_800.0
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class InvalidRecordError(BuckthorndealError):
    """A report of an endpoint has a value that no endpoint can have."""


def check_record(record: EndpointRecord) -> None:
    """Check all values of a record, whoever has sent it.

    Raises
    ------
    InvalidRecordError
        If a name is too long or not printable, a number is out of bounds, or the
        address is not that of one host with a port.
    """
    for name in (
        record.endpoint,
        record.service,
        record.region,
        record.failure_domain,
    ):
        check_name(name)
    if record.version:
        check_name(record.version)
    check_incarnation(record.incarnation)
    _check_range("sequence number", record.sequence, 0, MAX_COUNTER)
    _check_range("number of slots", record.slots, 0, MAX_SLOTS)
    _check_duration(record.cold_s)
    _check_duration(record.age_s)
    if record.leaves_in_s is not None:
        _check_duration(record.leaves_in_s)
    _check_address(record.address)


def check_incarnation(incarnation: int) -> None:
    """Check the incarnation that a report names.

    Raises
    ------
    InvalidRecordError
        If it is out of bounds.
    """
    _check_range("incarnation", incarnation, 0, MAX_INCARNATION_MS)


def select_valid_records(
    records: Iterable[EndpointRecord],
) -> tuple[EndpointRecord, ...]:
    """Return the records whose values are within their bounds; log the others."""
    return tuple(record for record in records if _is_valid(record))


def _is_valid(record: EndpointRecord) -> bool:
    try:
        check_record(record)
    except InvalidRecordError as error:
        log_event("endpoint_record_refused", reason=str(error))
        return False
    return True


def check_name(name: str) -> None:
    """Check a name that comes from outside.

    Raises
    ------
    InvalidRecordError
        If it is empty, too long or not printable.
    """
    if not name or len(name) > MAX_NAME_CHARS or not name.isprintable():
        shown = ascii(name[:MAX_NAME_CHARS])
        raise InvalidRecordError(f"{shown} is empty, too long or not printable")


def _check_range(kind: str, value: int, low: int, high: int) -> None:
    if not low <= value <= high:
        raise InvalidRecordError(f"the {kind} is not from {low} to {high}")


def _check_duration(seconds: float) -> None:
    if not math.isfinite(seconds) or abs(seconds) > MAX_DURATION_S:
        raise InvalidRecordError(f"a duration is longer than {MAX_DURATION_S:g} s")


def _check_address(address: str) -> None:
    ip, _, port = address.rpartition(":")
    if len(ip) > MAX_NAME_CHARS:
        raise InvalidRecordError("the IP address is too long")
    try:
        host = ipaddress.ip_address(ip)
    except ValueError as error:
        raise InvalidRecordError(f"{ip!a} is not an IP address") from error
    if host.is_unspecified or host.is_multicast:
        raise InvalidRecordError(f"{ip} is not the address of one host")
    digits = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not digits or not 1 <= int(port) <= MAX_PORT:
        raise InvalidRecordError(f"{port[:MAX_NAME_CHARS]!a} is not a port")
