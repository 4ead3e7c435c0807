"""Steps for the ports that tests give to programs."""

from __future__ import annotations

import subprocess
import sys

from behave import then, when

from tools._ports import free_port, free_upper_port

# Waits until all processes have claimed a block, then ends on a line of its input.
PROGRAM = """
import sys
from tools._ports import free_port
print(*(free_port() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.readline()
"""


@when("{processes:d} processes get {ports:d} ports each at the same time")
def step_get_ports(context, processes, ports):
    running = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(ports)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(processes)
    ]
    context.port_sets = [
        {int(port) for port in process.stdout.readline().split()} for process in running
    ]
    for process in running:
        process.communicate("\n")
    assert [len(found) for found in context.port_sets] == [ports] * processes


@then("no port was returned to two of them")
def step_ports_differ(context):
    distinct = set().union(*context.port_sets)
    assert len(distinct) == sum(len(found) for found in context.port_sets)


@then("each of {count:d} ports has a free upper one above it")
def port_above(context, count):
    for _ in range(count):
        assert free_port() < free_upper_port()
