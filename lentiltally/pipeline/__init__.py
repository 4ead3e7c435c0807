"""The filters that an entry applies to each request; README.md lists their order."""

from __future__ import annotations

from lentiltally.exchange import (
    Answer,
    CallerRequest,
    Exchange,
    Filter,
    Handler,
    Work,
    pipeline,
)
from lentiltally.pipeline.admit import AdmitFilter
from lentiltally.pipeline.claim import ClaimFilter
from lentiltally.pipeline.dispatch import Dispatch
from lentiltally.pipeline.models import ModelsFilter
from lentiltally.pipeline.observe import ObserveFilter
from lentiltally.pipeline.parse import ParseFilter
from lentiltally.pipeline.quarantine import QuarantineFilter
from lentiltally.pipeline.refusals import RefusalFilter
from lentiltally.pipeline.resolve import ResolveFilter

__all__ = [
    "AdmitFilter",
    "Answer",
    "CallerRequest",
    "ClaimFilter",
    "Dispatch",
    "Exchange",
    "Filter",
    "Handler",
    "ModelsFilter",
    "ObserveFilter",
    "ParseFilter",
    "QuarantineFilter",
    "RefusalFilter",
    "ResolveFilter",
    "Work",
    "pipeline",
]
