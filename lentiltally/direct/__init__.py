"""The serving path on hosts where the entry calls targets directly over HTTP.

An entry accepts callers' requests, chooses a target for each and forwards it there. An
agent runs beside each model engine and is the only sender of orders to that engine.
Entries and agents exchange datagrams. No state is stored on the host: desired state and
the list of targets are read from the platform's store, and the engines report which
adapters they have loaded.
"""

from __future__ import annotations
