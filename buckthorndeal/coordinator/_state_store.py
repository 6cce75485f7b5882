"""Small state of a coordinator that survives the end of its process."""

import functools
import os
from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import curio
import msgspec

from buckthorndeal._files import make_directory, replace_file
from buckthorndeal.errors import DECODING_ERRORS
from buckthorndeal.logs import log_event
from buckthorndeal.supervision import spawn_job

Record = TypeVar("Record")

# Pause after records could not be saved.
RETRY_S = 1.0


class StateStore(ABC, Generic[Record]):
    """Keeps records of one kind."""

    @abstractmethod
    def load(self) -> tuple[Record, ...]:
        """Return the records that were saved last."""

    @abstractmethod
    def save(self, records: tuple[Record, ...]) -> None:
        """Replace the saved records.

        Raises
        ------
        OSError
            If they cannot be written.
        """


class MemoryStateStore(StateStore[Record]):
    """Store that is lost with the process."""

    def __init__(self) -> None:
        self._records: tuple[Record, ...] = ()

    def load(self) -> tuple[Record, ...]:
        """Return the records that were saved last."""
        return self._records

    def save(self, records: tuple[Record, ...]) -> None:
        """Replace the saved records."""
        self._records = records


class DiskStateStore(StateStore[Record]):
    """Store in one file, which is durable after each `save`.

    Parameters
    ----------
    directory : str
        Directory of the file; it may not exist yet.
    name : str
        Name of the file, and of what it holds in log lines.
    record_type : type
        Type of the records.
    """

    def __init__(self, directory: str, name: str, record_type: type[Record]) -> None:
        self._directory = directory
        self._name = name
        self._path = os.path.join(directory, name)
        self._decoder = msgspec.msgpack.Decoder(tuple[record_type, ...])

    def load(self) -> tuple[Record, ...]:
        """Return the records that were saved last.

        A file that cannot be read is logged and left out: other hosts have the records
        too, or will make them again.
        """
        try:
            with open(self._path, "rb") as file:
                return self._decoder.decode(file.read())
        except FileNotFoundError:
            return ()
        except (OSError, *DECODING_ERRORS) as error:
            log_event(f"{self._name}_unreadable", path=self._path, reason=str(error))
            return ()

    def save(self, records: tuple[Record, ...]) -> None:
        """Replace the saved records.

        Raises
        ------
        OSError
            If they cannot be written.
        """
        make_directory(self._directory)
        replace_file(self._path, [msgspec.msgpack.encode(records)])


class StateSaver(Generic[Record]):
    """Saves the newest records without blocking other tasks, one save at a time.

    Parameters
    ----------
    store : StateStore
        Keeps the records.
    name : str
        What they are called in log lines.
    """

    def __init__(self, store: StateStore[Record], name: str) -> None:
        self._store = store
        self._name = name
        self._unsaved: tuple[Record, ...] | None = None
        self._saving = False
        self._due_s = 0.0

    def put(self, records: tuple[Record, ...]) -> None:
        """Set what is saved next."""
        self._unsaved = records

    async def save(self) -> None:
        """Start to save records that are not saved yet.

        After a failure it is tried again, with newer records if there are any.
        """
        if self._unsaved is None or self._saving or await curio.clock() < self._due_s:
            return
        records, self._unsaved = self._unsaved, None
        self._saving = True
        fail = functools.partial(self._record_failure, records)
        await spawn_job(self._save, records, on_failure=fail)

    async def _save(self, records: tuple[Record, ...]) -> None:
        try:
            await curio.run_in_thread(self._store.save, records)
        except OSError as error:
            await self._record_failure(records, error)
        finally:
            self._saving = False

    async def _record_failure(
        self, records: tuple[Record, ...], error: BaseException
    ) -> None:
        log_event(f"{self._name}_not_saved", reason=str(error))
        self._due_s = await curio.clock() + RETRY_S
        if self._unsaved is None:
            self._unsaved = records
