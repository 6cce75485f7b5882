"""All decoders of bytes from outside, with valid input, for the fuzz test."""

from tests.fuzzed_apis import create_api_decoders
from tests.fuzzed_files import create_store_decoders, create_text_decoders
from tests.fuzzed_http import create_http_decoders
from tests.fuzzed_peers import create_peer_decoders


def create_decoders():
    """Return all decoders of bytes from outside."""
    return [
        *create_peer_decoders(),
        *create_http_decoders(),
        *create_api_decoders(),
        *create_store_decoders(),
        *create_text_decoders(),
    ]
