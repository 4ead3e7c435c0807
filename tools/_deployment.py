"""A small deployment on loopback; stand-ins, entries and agents are processes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from hashlib import sha256
from pathlib import Path

from lentiltally.clock import SystemClock
from lentiltally.config import (
    CONFIG_STREAM,
    ChangeItem,
    ChangeRecord,
    new_change_id,
)
from lentiltally.platform.log_client import LogClient
from tools._ports import free_port
from tools._processes import Processes

BASE_MODEL = "base-1"
LOG_TIMEOUT_S = 2.0
#: Token that the administration API of the entries accepts.
OPERATOR_TOKEN = "loopback-operator"


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Name and command-line options of an engine stand-in."""

    name: str
    options: tuple[str, ...] = ()


@dataclass(slots=True)
class Deployment:
    """The processes of a deployment and their addresses, by process name.

    ``agent_addresses`` and ``entry_addresses`` are channel addresses, ``agent_health``
    the URLs of the agents' health servers, ``entry_urls`` and ``admin_urls`` those of
    the entries' listeners for callers and for administration.
    """

    processes: Processes
    folder: Path
    log_url: str
    weights_url: str
    hosts_url: str
    engine_urls: dict[str, str] = field(default_factory=dict)
    service_urls: dict[str, str] = field(default_factory=dict)
    agent_addresses: dict[str, str] = field(default_factory=dict)
    agent_health: dict[str, str] = field(default_factory=dict)
    entry_urls: dict[str, str] = field(default_factory=dict)
    entry_addresses: dict[str, str] = field(default_factory=dict)
    admin_urls: dict[str, str] = field(default_factory=dict)

    @classmethod
    def start(
        cls, processes: Processes, folder: Path, weight_options: Sequence[str] = ()
    ) -> Deployment:
        """Start the stand-ins of log, weight store and host list."""
        return cls(
            processes,
            folder,
            log_url=processes.start_standin("log", "log"),
            weights_url=processes.start_standin("weights", "weights", *weight_options),
            hosts_url=processes.start_standin("hosts", "hosts"),
        )

    def start_engine(self, spec: EngineSpec) -> str:
        """Start an engine stand-in and return its URL."""
        url = self.processes.start_standin(
            spec.name, "engine", "--weights-url", self.weights_url, *spec.options
        )
        self.engine_urls[spec.name] = url
        return url

    def start_service(self, name: str) -> str:
        """Start a plain service stand-in and return its URL."""
        url = self.processes.start_standin(name, "service")
        self.service_urls[name] = url
        return url

    def start_agent(
        self,
        name: str,
        targets: Sequence[str],
        domain: str,
        target_lines: Sequence[str] = (),
    ) -> None:
        """Write the settings of an agent, start it and wait until it is ready.

        ``target_lines`` are further TOML lines of each target.
        """
        port, health = free_port(), free_port()
        self.agent_addresses[name] = f"tcp://127.0.0.1:{port}"
        self.agent_health[name] = f"http://127.0.0.1:{health}"
        settings = self._common_settings("agent", name, domain, port)
        settings += f'[health]\nlisten = "127.0.0.1:{health}"\n'
        for target in targets:
            settings += self._target_settings(target) + "".join(
                f"{line}\n" for line in target_lines
            )
        (self.folder / f"{name}.toml").write_text(settings)
        self.restart_agent(name)

    def restart_agent(self, name: str) -> None:
        """Start an agent with its existing settings and wait until it is ready."""
        path = self.folder / f"{name}.toml"
        self.processes.start(name, ["lentiltally", "agent", "--settings", str(path)])
        self.processes.wait_http(name, f"{self.agent_health[name]}/readyz")

    def start_entry(
        self,
        name: str,
        domain: str,
        *,
        wait: bool = True,
        caller_lines: Sequence[str] = (),
        peers: Sequence[str] = (),
    ) -> str:
        """Write the settings of an entry, start it and return its URL.

        ``caller_lines`` are further TOML lines of the listener for callers. ``peers``
        are the channel addresses from which the entry fetches the configuration while
        the log is down.
        """
        port, callers, admin = free_port(), free_port(), free_port()
        self.entry_urls[name] = f"http://127.0.0.1:{callers}"
        self.admin_urls[name] = f"http://127.0.0.1:{admin}"
        addresses = ", ".join(f'"{a}"' for a in self.agent_addresses.values())
        self.entry_addresses[name] = f"tcp://127.0.0.1:{port}"
        settings = self._common_settings("entry", name, domain, port, peers)
        settings += (
            f'[callers]\nlisten = "127.0.0.1:{callers}"\n'
            + "".join(f"{line}\n" for line in caller_lines)
            + f'[admin]\nlisten = "127.0.0.1:{admin}"\n'
            f"[agents]\naddresses = [{addresses}]\n"
            f'[host_list]\nurl = "{self.hosts_url}"\n'
            '[[admin.tokens]]\nname = "operator"\nscopes = ["/"]\n'
            f'sha256 = "{sha256(OPERATOR_TOKEN.encode()).hexdigest()}"\n'
        )
        (self.folder / f"{name}.toml").write_text(settings)
        self.restart_entry(name, wait=wait)
        return self.entry_urls[name]

    def restart_entry(self, name: str, *, wait: bool = True) -> None:
        """Start an entry with its existing settings; wait until ready if ``wait``."""
        path = self.folder / f"{name}.toml"
        self.processes.start(name, ["lentiltally", "entry", "--settings", str(path)])
        if wait:
            self.processes.wait_http(name, f"{self.entry_urls[name]}/readyz")

    def publish(self, values: dict[str, dict[str, object]]) -> None:
        """Append one configuration change that creates all the given paths."""
        items = tuple(
            ChangeItem(path=path, expected_revision=0, value=value)
            for path, value in values.items()
        )
        record = ChangeRecord(
            change_id=new_change_id(),
            author="deployment",
            source_address="127.0.0.1",
            at=datetime.now(UTC),
            items=items,
        )
        log = LogClient(self.log_url, LOG_TIMEOUT_S, SystemClock())
        log.append(CONFIG_STREAM, [record])

    def _common_settings(
        self, role: str, name: str, domain: str, port: int, peers: Sequence[str] = ()
    ) -> str:
        peer_list = ", ".join(f'"{address}"' for address in peers)
        return (
            f'[process]\nrole = "{role}"\nname = "{name}"\nregion = "region-1"\n'
            f'failure_domain = "{domain}"\ndrain_s = 30.0\n'
            f'[channel]\nlisten = "tcp://127.0.0.1:{port}"\npeers = [{peer_list}]\n'
            f'[log]\nurl = "{self.log_url}"\n'
        )

    def _target_settings(self, name: str) -> str:
        if name in self.service_urls:
            return (
                f'[[targets]]\nname = "{name}"\nkind = "service"\n'
                f'url = "{self.service_urls[name]}"\n'
            )
        return (
            f'[[targets]]\nname = "{name}"\nkind = "engine"\n'
            f'url = "{self.engine_urls[name]}"\nbase_model = "{BASE_MODEL}"\n'
            f"adapter_slots = 8\nbatch_places = 16\n"
        )
