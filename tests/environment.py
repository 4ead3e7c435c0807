"""Settings of Hypothesis for all features."""

from __future__ import annotations

from hypothesis import settings

# Results must be reproducible: no random seed, no example database, no time limit.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.load_profile("repeatable")
