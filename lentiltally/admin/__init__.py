"""The administration API: configuration, audit trail, claims and quarantine."""

from __future__ import annotations

from lentiltally.admin.application import AdminApplication
from lentiltally.admin.audit import AuditFilter, AuditLog, AuditRecord
from lentiltally.admin.tokens import Scope, Token, Tokens

__all__ = [
    "AdminApplication",
    "AuditFilter",
    "AuditLog",
    "AuditRecord",
    "Scope",
    "Token",
    "Tokens",
]
