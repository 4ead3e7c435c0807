"""Run one stand-in as a process: ``python -m standins KIND --port N [options]``.

Prints ``ready URL`` when it accepts connections, and stops on SIGTERM or SIGINT.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from standins._http import StandIn
from standins.engine import EngineStandIn
from standins.engine_state import EngineSettings
from standins.host_list import Host, HostListStandIn
from standins.log_core import LogSettings
from standins.log_service import LogStandIn
from standins.plain_service import PlainServiceStandIn
from standins.weight_store import WeightStoreSettings, WeightStoreStandIn

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Build = Callable[[argparse.Namespace], StandIn]


def _engine(options: argparse.Namespace) -> StandIn:
    settings = _settings(EngineSettings, options)
    return EngineStandIn(options.host, options.port, settings=settings)


def _service(options: argparse.Namespace) -> StandIn:
    return PlainServiceStandIn(
        options.host,
        options.port,
        service_s=options.service_s,
    )


def _weights(options: argparse.Namespace) -> StandIn:
    settings = _settings(WeightStoreSettings, options)
    return WeightStoreStandIn(options.host, options.port, settings=settings)


def _log(options: argparse.Namespace) -> StandIn:
    settings = _settings(LogSettings, options)
    return LogStandIn(options.host, options.port, settings=settings)


def _hosts(options: argparse.Namespace) -> StandIn:
    hosts: list[Host] = []
    if options.hosts is not None:
        hosts = msgspec.json.decode(options.hosts.read_bytes(), type=list[Host])
    return HostListStandIn(
        options.host,
        options.port,
        hosts=hosts,
        lag_s=options.lag_s,
    )


def _settings(settings_type: type[Any], options: argparse.Namespace) -> Any:
    """Build a settings struct from the options with the names of its fields."""
    names = {field.name for field in msgspec.structs.fields(settings_type)}
    return settings_type(**{k: v for k, v in vars(options).items() if k in names})


def _add_settings(parser: argparse.ArgumentParser, settings_type: type[Any]) -> None:
    """Add one option for each field of a settings struct, with its default."""
    for field in msgspec.structs.fields(settings_type):
        name = "--" + field.name.replace("_", "-")
        if field.type is bool:
            parser.add_argument(name, action="store_true")
        else:
            parser.add_argument(name, type=field.type, default=field.default)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m standins")
    kinds = parser.add_subparsers(dest="kind", required=True)

    def add(name: str, text: str, build: Build) -> Any:
        kind = kinds.add_parser(name, help=text)
        kind.add_argument("--host", default="127.0.0.1")
        kind.add_argument("--port", type=int, default=0)
        kind.set_defaults(build=build)
        return kind

    _add_settings(add("engine", "model engine", _engine), EngineSettings)
    _add_settings(add("weights", "weight store", _weights), WeightStoreSettings)
    _add_settings(add("log", "append-only log service", _log), LogSettings)
    service = add("service", "plain service", _service)
    service.add_argument("--service-s", type=float, default=0.0)
    hosts = add("hosts", "host list", _hosts)
    hosts.add_argument("--hosts", type=Path, help="JSON file with the first list")
    hosts.add_argument("--lag-s", type=float, default=1.0)
    return parser


def main() -> int:
    """Run the stand-in that the command line names until SIGTERM or SIGINT."""
    options = _parser().parse_args()
    # The signals are blocked and fetched by sigwait(), without a handler: a handler
    # that sets an event could run just before the wait for that event and not end it.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    stand_in = options.build(options)
    stand_in.start()
    print(f"ready {stand_in.url}", flush=True)
    signal.sigwait(_STOP_SIGNALS)
    stand_in.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
