"""Random, damaged and extreme input for all decoders of bytes from outside."""

import logging
import unittest

import curio

from tests.decoder_fuzz import fuzz, is_any_sample_valid
from tests.fuzzed_decoders import create_decoders

SEED = 1
INPUTS = 60
TRACED_STEP = 7
# Refused by what follows the decoder, as there is nothing behind it here.
REFUSED_SAMPLES = {"paths", "message of an endpoint", "chat", "parsed events"}


class DecoderFuzzTest(unittest.TestCase):
    """A decoder gives a value or the error that it documents, whatever it is given."""

    def setUp(self):
        logging.disable(logging.CRITICAL)

    def tearDown(self):
        logging.disable(logging.NOTSET)

    def run_fuzz(self, count, trace, step=1):
        async def main():
            found = [
                await fuzz(decoder, SEED, count, trace, step)
                for decoder in create_decoders()
            ]
            return [str(fault) for faults in found for fault in faults]

        return curio.run(main)

    def test_memory_is_a_small_multiple_of_the_input(self):
        """Guards against lengths and compressed content that are believed."""
        self.assertEqual(self.run_fuzz(0, trace=True, step=TRACED_STEP), [])

    def test_decoders_raise_only_the_errors_that_they_document(self):
        """Guards against bytes from outside that end the task which decodes them."""
        self.assertEqual(self.run_fuzz(INPUTS, trace=False), [])

    def test_samples_are_valid(self):
        """Guards against a fuzz test whose samples are refused at once."""

        async def main():
            return {
                decoder.name
                for decoder in create_decoders()
                if not await is_any_sample_valid(decoder)
            }

        self.assertEqual(curio.run(main), REFUSED_SAMPLES)


if __name__ == "__main__":
    unittest.main()
