"""Multi-region inference gateway: coordination parts without I/O, and daemons."""

__version__ = "0.1.0"
