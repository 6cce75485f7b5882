"""Stores the newest configuration document of the entry host on disk."""

import os
import zlib

import msgspec

from buckthorndeal._files import make_directory, replace_file, sync_directory
from buckthorndeal.control._messages import DocumentContent
from buckthorndeal.document import Document, create_document, restore_document
from buckthorndeal.errors import (
    DECODING_ERRORS,
    CorruptStoreError,
    StoreError,
    ValidationError,
)

FILE_NAME = "document"
MAGIC = b"BKDDOC1\n"
CHECKSUM_BYTES = 4


def read_content(content: DocumentContent) -> Document:
    """Validate and return the document of a message or a file.

    Raises
    ------
    ValidationError
        If a section is not valid, or contradicts another section.
    """
    create_document({name: text for name, (text, _) in content.sections.items()})
    return restore_document(content.revision, content.sections)


def create_content(document: Document) -> DocumentContent:
    """Return the complete document as a message."""
    sections = {
        name: (entry.text, entry.revision) for name, entry in document.sections.items()
    }
    return DocumentContent(document.revision, sections)


class DocumentStore:
    """Stores a document in one file, which is replaced atomically.

    Parameters
    ----------
    directory : str
        Directory of the file; created if needed.
    """

    def __init__(self, directory: str) -> None:
        make_directory(directory)
        self._path = os.path.join(directory, FILE_NAME)

    def load(self) -> Document | None:
        """Return the stored document, or None if there is none.

        Raises
        ------
        CorruptStoreError
            If the file is damaged. Starting without it could activate an older
            revision.
        """
        if not os.path.exists(self._path):
            return None
        # An earlier process may have ended before the name of the file was synced.
        sync_directory(os.path.dirname(self._path))
        with open(self._path, "rb") as file:
            data = file.read()
        start = len(MAGIC) + CHECKSUM_BYTES
        payload = data[start:]
        checksum = zlib.crc32(payload).to_bytes(CHECKSUM_BYTES, "big")
        if data[:start] != MAGIC + checksum:
            raise CorruptStoreError(self._path, 0, "wrong magic bytes or checksum")
        try:
            content = msgspec.msgpack.decode(payload, type=DocumentContent)
            return read_content(content)
        except (*DECODING_ERRORS, ValidationError) as error:
            raise CorruptStoreError(self._path, start, str(error)) from error

    def save(self, document: Document) -> None:
        """Replace the stored document durably.

        Raises
        ------
        StoreError
            If the file cannot be written.
        """
        payload = msgspec.msgpack.encode(create_content(document))
        checksum = zlib.crc32(payload).to_bytes(CHECKSUM_BYTES, "big")
        try:
            replace_file(self._path, [MAGIC, checksum, payload])
        except OSError as error:
            raise StoreError(f"{self._path}: {error}") from error
