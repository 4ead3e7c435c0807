"""The configuration tree and how it is followed and changed."""

from __future__ import annotations
