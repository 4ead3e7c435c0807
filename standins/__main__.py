"""Runs one stand-in as a process: ``python -m standins KIND --port N [options]``.

Prints ``ready URL`` when it accepts connections and stops on SIGTERM.
"""

from __future__ import annotations

import argparse
import signal
import sys
import threading
from pathlib import Path

import msgspec

from standins._http import StandIn, serve_until
from standins.host_list import Host, HostListStandIn
from standins.log_core import LogSettings
from standins.log_service import LogStandIn


def _log(options: argparse.Namespace) -> StandIn:
    settings = LogSettings(
        options.max_records, options.max_age_s, options.appends_per_s
    )
    return LogStandIn(options.host, options.port, settings=settings)


def _hosts(options: argparse.Namespace) -> StandIn:
    hosts: list[Host] = []
    if options.hosts is not None:
        hosts = msgspec.json.decode(options.hosts.read_bytes(), type=list[Host])
    return HostListStandIn(options.host, options.port, hosts=hosts, lag_s=options.lag_s)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m standins")
    kinds = parser.add_subparsers(dest="kind", required=True)
    log = kinds.add_parser("log", help="append-only log service")
    log.add_argument("--max-records", type=int, default=0)
    log.add_argument("--max-age-s", type=float, default=0.0)
    log.add_argument("--appends-per-s", type=float, default=500.0)
    log.set_defaults(build=_log)
    hosts = kinds.add_parser("hosts", help="host list")
    hosts.add_argument("--hosts", type=Path, help="JSON file with the first list")
    hosts.add_argument("--lag-s", type=float, default=1.0)
    hosts.set_defaults(build=_hosts)
    for kind in (log, hosts):
        kind.add_argument("--host", default="127.0.0.1")
        kind.add_argument("--port", type=int, default=0)
    return parser


def main() -> int:
    """Run the stand-in that the command line names until SIGTERM or SIGINT."""
    options = _parser().parse_args()
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    serve_until(options.build(options), stop)
    return 0


if __name__ == "__main__":
    sys.exit(main())
