"""Decodes the operators' configuration and adapter versions from the store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lentiltally.direct.model import (
    AdapterNotice,
    CallerLimits,
    DesiredState,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from lentiltally.errors import LentiltallyError
from lentiltally.platform._json import Count, Rank, decode_json
from lentiltally.platform.client_accounts import decode_accounts

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "StoreValueError",
    "decode_adapter_notice",
    "decode_desired_state",
    "is_adapter_notice",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
_ADAPTER_NOTICE_PREFIX = "version/"
MS_PER_S = 1000.0

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class StoreValueError(LentiltallyError):
    """A value from the platform's store, or an engine's report, is malformed."""


# Times are sent in messages as integers of 64 bits.
_Milliseconds = Annotated[float, Meta(ge=-1e12, le=1e12)]


class _TrafficShare(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Milliseconds = 30_000.0
    target_latency_ms: _Milliseconds = 1_000.0
    priority: Rank = 0
    service: str = ""
    traffic_split: list[_TrafficShare] = []
    attempts: Annotated[int, Meta(ge=1, le=2**31)] = 1
    resumable: bool = False
    gap_target_ms: _Milliseconds = 0.0
    public: bool = False


class _Model(Struct, rename="camel"):
    name: str
    weights_mb: float = 0.0
    load_time_s: float = 1.0
    adapter_mb: float = 0.0


class _Engine(Struct, rename="camel"):
    slots: Count = 1
    kv_cache_tokens: Count = 0
    adapter_slots: Count = 0
    weights_mb: float = 0.0
    models: list[_Model] = []


class _Service(Struct, rename="camel"):
    name: str
    health_path: str = "/health"
    connection_limit: Count = 64
    engine: _Engine | None = None


class _CallerLimits(Struct, rename="camel"):
    header_bytes: Count = 16_384
    body_bytes: Count = 4 * 1024 * 1024
    header_timeout_ms: _Milliseconds = 3_000.0
    idle_timeout_ms: _Milliseconds = 15_000.0


class _Config(Struct):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)
    tenants: msgspec.Raw = msgspec.Raw()


class _AdapterNotice(Struct):
    model: str
    adapter: str
    version: Count


def decode_desired_state(value: bytes, *, with_accounts: bool = True) -> DesiredState:
    """Decode the complete configuration; raises StoreValueError if it is malformed.

    Without ``with_accounts``, client accounts are neither decoded nor checked.
    """
    try:
        config = decode_json(value, _Config)
        routes = tuple(_to_route(route) for route in config.routes)
        accounts = decode_accounts(config.tenants) if with_accounts else None
    except (msgspec.MsgspecError, KeyError) as error:
        raise StoreValueError(
            f"malformed configuration: {error}", step="decode configuration"
        ) from error
    limits = config.limits
    return DesiredState(
        version=config.version,
        routes=routes,
        services={service.name: _to_service(service) for service in config.services},
        limits=CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        ),
        accounts=accounts,
    )


def is_adapter_notice(key: str) -> bool:
    """Return whether a key of the configuration topic holds an adapter's version."""
    return key.startswith(_ADAPTER_NOTICE_PREFIX)


def decode_adapter_notice(value: bytes) -> AdapterNotice:
    """Decode the newest version of an adapter; raises StoreValueError if malformed."""
    try:
        notice = decode_json(value, _AdapterNotice)
    except msgspec.MsgspecError as error:
        raise StoreValueError(
            f"malformed version notice: {error}", step="decode version notice"
        ) from error
    return AdapterNotice(notice.model, notice.adapter, notice.version)


def _to_route(route: _Route) -> Route:
    split = tuple(WeightedService(s.service, s.weight) for s in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS[route.kind],
        timeout_s=route.timeout_ms / MS_PER_S,
        objective_s=route.target_latency_ms / MS_PER_S,
        rank=route.priority,
        services=split or (WeightedService(route.service, 1.0),),
        max_targets=route.attempts,
        is_resumable=route.resumable,
        max_gap_s=route.gap_target_ms / MS_PER_S,
        is_public=route.public,
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.connection_limit,
        engine=None
        if engine is None
        else EngineSpec(
            batch_slots=engine.slots,
            cache_tokens=engine.kv_cache_tokens,
            adapter_slots=engine.adapter_slots,
            weights_mb=engine.weights_mb,
            models=tuple(
                ModelSpec(m.name, m.weights_mb, m.load_time_s, m.adapter_mb)
                for m in engine.models
            ),
        ),
    )
