"""The serving path on hosts where the entry calls targets directly over HTTP.

An entry accepts callers' requests, chooses targets and forwards; an agent beside each
model engine is the only sender of that engine's orders. Entries and agents exchange
datagrams. Nothing here is kept on the host: desired state and the list of targets come
from the platform's store, adapters from the engines.
"""

from __future__ import annotations
