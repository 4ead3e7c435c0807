"""Shared parts of the cases 6 to 9: stand-ins, clients and processes."""
