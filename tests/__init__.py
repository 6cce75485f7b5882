"""Tests of the package."""

import logging

# Curio warns when an operation ends just after its timeout; on a busy machine the
# warnings hide the result.
logging.getLogger("curio.time").setLevel(logging.ERROR)
