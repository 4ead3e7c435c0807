"""Stand-ins for the systems around lentiltally, for demos, tests and benches.

Each is a small HTTP server that runs in-process (``start()``, ``stop()``, ``url``)
or as a process of its own (``python -m standins KIND --port N``).
"""

from standins.engine import EngineStandIn
from standins.engine_answers import ChatMessage, answer_text, chat_prompt
from standins.engine_state import EngineSettings
from standins.host_list import Host, HostListStandIn
from standins.log_core import LogSettings
from standins.log_service import LogStandIn
from standins.plain_service import PlainServiceStandIn
from standins.weight_store import WeightStoreSettings, WeightStoreStandIn

__all__ = [
    "ChatMessage",
    "EngineSettings",
    "EngineStandIn",
    "Host",
    "HostListStandIn",
    "LogSettings",
    "LogStandIn",
    "PlainServiceStandIn",
    "WeightStoreSettings",
    "WeightStoreStandIn",
    "answer_text",
    "chat_prompt",
]
