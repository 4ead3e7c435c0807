"""The mechanisms, what switches each off, and the scenario that must then fail."""

from __future__ import annotations

from tools._mutation import Mutation
from tools._mutations_answers import ANSWERS_MUTATIONS
from tools._mutations_callers import CALLERS_MUTATIONS
from tools._mutations_crashes import CRASHES_MUTATIONS
from tools._mutations_decisions import DECISIONS_MUTATIONS
from tools._mutations_own import OWN_MUTATIONS
from tools._mutations_reading import READING_MUTATIONS
from tools._mutations_rights import RIGHTS_MUTATIONS
from tools._mutations_targets import TARGETS_MUTATIONS
from tools._mutations_wiring import WIRING_MUTATIONS

__all__ = ["MUTATIONS", "Mutation"]

MUTATIONS: tuple[Mutation, ...] = (
    *DECISIONS_MUTATIONS,
    *CRASHES_MUTATIONS,
    *CALLERS_MUTATIONS,
    *TARGETS_MUTATIONS,
    *READING_MUTATIONS,
    *OWN_MUTATIONS,
    *WIRING_MUTATIONS,
    *RIGHTS_MUTATIONS,
    *ANSWERS_MUTATIONS,
)
