"""Decoders of files and documents, with valid input, for the fuzz test."""

import json
import pathlib
import sys
import tempfile
import types
import zlib
from typing import Union

import msgspec

from buckthorndeal.configuration import ConfigurationError
from buckthorndeal.consensus._logstore_disk import (
    FILE_HEADER,
    encode_record,
    scan_records,
)
from buckthorndeal.consensus._logstore_disk import _decode as decode_log_record
from buckthorndeal.consensus._messages import CONSENSUS_MESSAGES, Vote
from buckthorndeal.consensus._records import (
    Ballot,
    Entry,
    EntryKind,
    Membership,
    ReplicaId,
    Snapshot,
)
from buckthorndeal.coordinator._quarantine_store import create_disk_quarantine_store
from buckthorndeal.errors import (
    CorruptStoreError,
    SettingsError,
    StoreError,
    ValidationError,
)
from buckthorndeal.ledger._claim_disk import MAGIC, _create_frame
from buckthorndeal.ledger._claim_records import ClaimEntry, ClaimSnapshot
from buckthorndeal.ledger._claim_records import encode_snapshot as encode_claims
from buckthorndeal.ledger.claims import DiskClaimStore
from buckthorndeal.quarantine import QuarantineDecision
from buckthorndeal.replication import BaseReplicaTask, ConsensusReceived
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.sections import parse_section
from buckthorndeal.settings import (
    CoordinatorSettings,
    GatewaySettings,
    load_settings,
)
from buckthorndeal.statemachine import (
    PutConfiguration,
    StateMachine,
    decode_command,
    encode_command,
)
from tests.decoder_fuzz import Decoder
from tests.fleet_harness import create_configuration
from tests.fuzzed_apis import PLATFORM_DOCUMENT

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

import routecodec

WALL_S = 1.7e9
ADDRESS = {"address": "127.0.0.1", "port": 1}
SHARED_SETTINGS = {
    "host": "h",
    "region": "a",
    "failure_domain": "a-1",
    "peer_listen": ADDRESS,
    "peer_keys": ["00112233445566778899aabbccddeeff"],
}
SETTINGS = {
    GatewaySettings: SHARED_SETTINGS
    | {
        "seeds": [ADDRESS],
        "listen": ADDRESS,
        "ready_listen": ADDRESS,
        "forward_listen": ADDRESS,
    },
    CoordinatorSettings: SHARED_SETTINGS
    | {
        "seeds": [ADDRESS],
        "api_listen": ADDRESS,
        "directory_listen": ADDRESS,
        "regions": {"a-1": "a"},
        "data_directory": "data",
    },
}
REPLICA = ReplicaId("a", 1)


def create_store_decoders():
    entry = Entry(1, 1, EntryKind.DATA, b"data")
    snapshot = Snapshot(1, 1, Membership((REPLICA,)), b"data")
    put = PutConfiguration(version=1, content=zlib.compress(b"{}"))
    vote = Vote(source=REPLICA, target=REPLICA, term=1, last_index=1, last_term=1)
    models = {"entry": entry, "ballot": Ballot(1, REPLICA), "snapshot": snapshot}
    decision = QuarantineDecision("key", 1, True, 1.0)
    errors = (CorruptStoreError,)
    decoders = [
        Decoder(
            f"log record: {name}",
            _create_record_decoder(type(value)),
            errors,
            (msgspec.msgpack.encode(value),),
        )
        for name, value in models.items()
    ]
    record = msgspec.msgpack.encode(entry)
    log = FILE_HEADER + encode_record(record, len(FILE_HEADER))
    log += encode_record(record, len(log))
    return [
        *decoders,
        Decoder("log file", lambda data: scan_records(data, "file"), errors, (log,)),
        Decoder("command", decode_command, (), (encode_command(put),)),
        Decoder(
            "applied command",
            lambda data: StateMachine().apply(1, data),
            (),
            (encode_command(put),),
        ),
        Decoder(
            "consensus message",
            _receive_consensus,
            (),
            (msgspec.msgpack.encode(vote),),
        ),
        Decoder("claim file", _load_claims, (StoreError,), (_create_claims(),)),
        Decoder(
            "claim record",
            _load_claim_record,
            (StoreError,),
            tuple(encode_claims("id", _create_snapshot())),
        ),
        Decoder(
            "quarantine store",
            _load_quarantine,
            (),
            (msgspec.msgpack.encode((decision,)),),
        ),
    ]


def _create_record_decoder(model):
    return lambda data: decode_log_record(data, model, "file", 0)


async def _receive_consensus(data):
    """Decode a frame as the task of a replica does, without the replica."""

    async def process(output):
        del output

    task = types.SimpleNamespace(
        _decoder=msgspec.msgpack.Decoder(Union[CONSENSUS_MESSAGES]),  # noqa: UP007
        _replica=types.SimpleNamespace(receive=lambda *message: None),
        _process=process,
        _clock=lambda: 0.0,
    )
    await BaseReplicaTask._receive(task, ConsensusReceived(sender="a", data=data))


def _create_snapshot():
    snapshot = ClaimSnapshot()
    entry = ClaimEntry(b"f" * 16, 1, 1, "claimed", b"d" * 16, "r", WALL_S)
    snapshot.apply(entry)
    return snapshot


def _create_claims():
    frames = (_create_frame(each) for each in encode_claims("id", _create_snapshot()))
    return MAGIC + b"".join(frames)


def _load_claim_record(data):
    """Load a claim file with a valid identity and one more frame."""
    identity = next(encode_claims("id", ClaimSnapshot()))
    _load_claims(MAGIC + _create_frame(identity) + _create_frame(data))


def _load_claims(data):
    with tempfile.TemporaryDirectory() as directory:
        (pathlib.Path(directory) / "claims.log").write_bytes(data)
        DiskClaimStore(directory).close()


def _load_quarantine(data):
    with tempfile.TemporaryDirectory() as directory:
        (pathlib.Path(directory) / "quarantine").write_bytes(data)
        create_disk_quarantine_store(directory).load()


def create_text_decoders():
    configuration = create_configuration()
    document = json.dumps(PLATFORM_DOCUMENT).encode()
    return [
        Decoder(
            "configuration",
            create_route_format().decode,
            (ConfigurationError,),
            (configuration,),
        ),
        Decoder(
            "configuration of the platform",
            routecodec.DocumentCodec().decode,
            (ConfigurationError,),
            (document,),
        ),
        *(
            Decoder(
                f"settings: {model.__name__}",
                lambda data, model=model: _load_settings(data, model),
                (SettingsError,),
                (json.dumps(settings).encode(),),
            )
            for model, settings in SETTINGS.items()
        ),
        Decoder(
            "section",
            lambda data: parse_section("platform", data.decode("latin-1")),
            (ValidationError,),
            (b'{"regions": {}, "services": {}}',),
        ),
    ]


def _load_settings(data, model):
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        load_settings(file.name, model)
