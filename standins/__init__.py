"""Stand-ins for the systems around lentiltally, for demos, tests and benches.

Each is a small HTTP server that runs in-process (``start()``, ``stop()``, ``url``)
or as a process (``python -m standins KIND --port N``).
"""

from standins.host_list import Host, HostListStandIn
from standins.log_core import LogSettings
from standins.log_service import LogStandIn

__all__ = ["Host", "HostListStandIn", "LogSettings", "LogStandIn"]
