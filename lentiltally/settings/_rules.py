"""Rules across several keys of a settings file.

Each rule yields an error for every violation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from lentiltally.settings._checker import SettingsError, format_value
from lentiltally.settings._keys import RETENTION_MARGIN_S, Role

# Checked values by table and key. A key with an error of its own is absent, and rules
# then skip it.
Values = Mapping[str, Any]
Rule = Callable[[Values], Iterator[SettingsError]]
_ENGINE_KEYS = ("base_model", "adapter_slots", "batch_places")


def _tls_is_complete(table: str) -> Rule:
    def rule(values: Values) -> Iterator[SettingsError]:
        names = ("tls_certificate", "tls_key")
        section = values[table]
        if not all(name in section for name in names):
            return
        missing = [name for name in names if section[name] is None]
        if len(missing) == 1:
            reason = "is missing; certificate and key are set together or not at all"
            yield SettingsError(f"{table}.{missing[0]}", "", reason)

    return rule


def _idempotency_keys_expire_before_claims(values: Values) -> Iterator[SettingsError]:
    lifetime_s = values["idempotency"].get("key_lifetime_s")
    retention_s = values["log"].get("retention_s")
    if lifetime_s is None or retention_s is None:
        return
    longest_s = retention_s - RETENTION_MARGIN_S
    if lifetime_s > longest_s:
        yield SettingsError(
            "idempotency.key_lifetime_s",
            format_value(lifetime_s),
            f"must be at most log.retention_s minus {RETENTION_MARGIN_S}: {longest_s}",
        )


def _unique_names(path: str, entries: tuple[Values, ...]) -> Iterator[SettingsError]:
    seen: dict[str, int] = {}
    for index, entry in enumerate(entries):
        name = entry.get("name")
        if name in seen:
            reason = f"is also the name of {path}[{seen[name]}]"
            yield SettingsError(f"{path}[{index}].name", format_value(name), reason)
        elif name is not None:
            seen[name] = index


def _unique_token_names(values: Values) -> Iterator[SettingsError]:
    return _unique_names("admin.tokens", values["admin"].get("tokens", ()))


def _unique_target_names(values: Values) -> Iterator[SettingsError]:
    return _unique_names("targets", values["targets"])


def _at_least_one_target(values: Values) -> Iterator[SettingsError]:
    if not values["targets"]:
        yield SettingsError("targets", "", "is missing; an agent needs a target")


def _engine_keys_match_kind(values: Values) -> Iterator[SettingsError]:
    for index, target in enumerate(values["targets"]):
        for name in _ENGINE_KEYS:
            path, value = f"targets[{index}].{name}", target.get(name)
            if target.get("kind") == "engine" and name in target and value is None:
                yield SettingsError(path, "", "is missing; engines need it")
            if target.get("kind") == "service" and value is not None:
                yield SettingsError(path, format_value(value), "is for engines only")


def _unique_listen_addresses(values: Values) -> Iterator[SettingsError]:
    seen: dict[str, str] = {}
    for table in ("channel", "callers", "admin", "health"):
        address = values.get(table, {}).get("listen")
        if address is None:
            continue
        host_and_port = address.removeprefix("tcp://")
        if host_and_port in seen:
            reason = f"is also the address of {seen[host_and_port]}"
            yield SettingsError(f"{table}.listen", format_value(address), reason)
        seen.setdefault(host_and_port, f"{table}.listen")


_COMMON: Final[tuple[Rule, ...]] = (_unique_listen_addresses,)
RULES: Final[Mapping[Role, tuple[Rule, ...]]] = {
    "entry": (
        *_COMMON,
        _tls_is_complete("callers"),
        _tls_is_complete("admin"),
        _idempotency_keys_expire_before_claims,
        _unique_token_names,
    ),
    "agent": (
        *_COMMON,
        _at_least_one_target,
        _unique_target_names,
        _engine_keys_match_kind,
    ),
}


def check_rules(values: Values, role: Role) -> Iterator[SettingsError]:
    """Yield an error for every violation of the role's rules by checked values."""
    for rule in RULES[role]:
        yield from rule(values)
