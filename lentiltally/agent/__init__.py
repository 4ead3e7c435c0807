"""The agent process: the only sender of work and orders to its targets."""

from __future__ import annotations

from lentiltally.agent.process import Agent, run

__all__ = ["Agent", "run"]
