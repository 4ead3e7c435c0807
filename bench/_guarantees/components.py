"""The decision classes and checks under test, which a mutation can replace."""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.decisions import minted_keys
from lentiltally.decisions.adapter_slots import AdapterSlots
from lentiltally.decisions.answers import AnswerAssembly
from lentiltally.decisions.attempts import AttemptTable
from lentiltally.decisions.claim_resolution import ClaimResolution
from lentiltally.decisions.claims import ClaimTable
from lentiltally.decisions.membership import Membership
from lentiltally.decisions.ownership import Ownership


@dataclass(frozen=True, slots=True)
class Components:
    """The decision classes that the fake processes use, and which checks they make.

    A mutation replaces a class or turns off a check.
    """

    attempts: type[AttemptTable] = AttemptTable
    adapter_slots: type[AdapterSlots] = AdapterSlots
    ownership: type[Ownership] = Ownership
    membership: type[Membership] = Membership
    claims: type[ClaimTable] = ClaimTable
    resolution: type[ClaimResolution] = ClaimResolution
    assembly: type[AnswerAssembly] = AnswerAssembly
    minted_key_table: type[minted_keys.MintedKeyTable] = minted_keys.MintedKeyTable
    checks_answers: bool = True
    checks_minted_incarnation: bool = True
    waits_for_release: bool = True
    fences_before_pin: bool = True
    checks_revisions: bool = True
    checks_change_ids: bool = True
    keeps_newer_tree: bool = True
