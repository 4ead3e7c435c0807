"""Shared parts of the cases 6 to 10: stand-ins, clients and processes."""
