"""Measurements, run as ``python -m bench NAME``."""
