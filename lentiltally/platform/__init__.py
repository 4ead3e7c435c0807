"""Clients of the platform's services, and decoders of its formats."""

from __future__ import annotations
