"""Steps for the rights that an agent holds."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions.holder_role import AgentList, HolderRole
from lentiltally.decisions.target_limits import limit_owners

RIGHT = "t@1"
PROPAGATION_S = 3.0
NAMES = [f"10.0.0.{number}" for number in range(4)]
# Agents look at their lists at this interval.
TICK_S = 0.5


def in_order(names):
    order, left = [], set(names)
    while left:
        order.append(limit_owners(left, RIGHT)[0])
        left.discard(order[-1])
    return order


class Roles:
    """Roles of agents, the first ones in the order of the right first."""

    def __init__(self, count):
        self.now_s = 0.0
        self.hosts = in_order(NAMES)[-count:]
        self.lists = {host: AgentList(frozenset(self.hosts), 100) for host in NAMES}
        self.roles = {}
        self.is_connected = True
        # Agents that can't read the list since their start.
        self.without_list = set()
        for host in self.hosts:
            self.start(host)
        self.advance(60.0)

    def start(self, host):
        self.roles[host] = HolderRole(host, PROPAGATION_S, self.now_s)
        self.read(host, self.lists[host])

    def read(self, host, agents):
        self.lists[host] = agents
        self.roles[host].listed(agents, self.now_s)

    def advance(self, for_s, frozen=None):
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + TICK_S)
            for host, role in self.roles.items():
                if host != frozen and host not in self.without_list:
                    role.listed(self.lists[host], self.now_s)

    def exchange(self, host):
        """Deliver the requests of one agent, and the answers, until none is due."""
        due, self.due = self.due, None
        while due is not None:
            request, hosts = due
            for other in hosts if self.is_connected else ():
                if other in self.roles:
                    reply = self.roles[other].requested(request, host, self.now_s)
                    self.roles[host].answered(RIGHT, other, reply, self.now_s)
            due = self.roles[host].due_request(RIGHT, self.now_s)

    def ask(self, host, position):
        role = self.roles[host]
        standing = role.standing(RIGHT, position, self.now_s)
        due = role.due_request(RIGHT, self.now_s)
        if due is not None:
            self.due, self.asking = due, host
        return standing


@given("holder roles of {count:d} agents that have read up to 100 for 60 s")
def roles_of_agents(context, count):
    context.roles = Roles(count)


@given("holder roles get no messages")
def no_messages(context):
    context.roles.is_connected = False


def host_of(context, number):
    return context.roles.hosts[number - 1]


def without_first(context, position):
    hosts = context.roles.hosts
    return AgentList(frozenset(hosts) - {hosts[0]}, position)


@when("holder role {number:d} has read up to {position:d} that agent 1 is gone")
def reads_gone(context, number, position):
    agents = without_first(context, position)
    context.roles.read(host_of(context, number), agents)


@when("holder roles 2, 3 and 4 have read up to {position:d} that agent 1 is gone")
def all_read_gone(context, position):
    for number in (2, 3, 4):
        reads_gone(context, number, position)


@when("holder role {number:d} starts again and reads up to {position:d}")
def starts_again(context, number, position):
    roles, host = context.roles, host_of(context, number)
    roles.lists[host] = AgentList(roles.lists[host].hosts, position)
    roles.start(host)


@when("holder role {number:d} starts again and reads nothing")
def starts_without_list(context, number):
    roles, host = context.roles, host_of(context, number)
    roles.roles[host] = HolderRole(host, PROPAGATION_S, roles.now_s)
    roles.without_list.add(host)


@when(
    "holder role {number:d} starts again and reads up to {position:d} that agent 1 is "
    "gone"
)
def starts_without_first(context, number, position):
    host = host_of(context, number)
    context.roles.lists[host] = without_first(context, position)
    context.roles.start(host)


@when("a new agent that is a holder of the right has read up to {position:d}")
def new_agent(context, position):
    roles = context.roles
    (new,) = set(NAMES) - set(roles.hosts)
    context.new, context.replaced = new, roles.hosts[-1]
    roles.lists[new] = AgentList(frozenset(NAMES), position)
    roles.start(new)


@when("holder roles exchange their messages about the right")
def exchange_messages(context):
    context.roles.exchange(context.roles.asking)


@when("holder roles know again, up to {position:d}, that there are 3 agents")
def know_again(context, position):
    for host in context.roles.hosts:
        agents = AgentList(frozenset(context.roles.hosts), position)
        context.roles.read(host, agents)


@when("holder role {number:d} stood still for {for_s:d} s")
def stood_still(context, number, for_s):
    context.roles.advance(float(for_s), frozen=host_of(context, number))


def check(context, host, position, standing):
    found = context.roles.ask(host, position)
    assert found.standing.value == standing, found
    return found


@then('holder role {number:d} asked by an entry at {position:d} is "{standing}"')
def is_now(context, number, position, standing):
    check(context, host_of(context, number), position, standing)


@then(
    'holder role {number:d} asked by an entry at {position:d} is "{standing}" '
    "{later_s:g} s later"
)
def is_later(context, number, position, standing, later_s):
    context.roles.advance(later_s)
    check(context, host_of(context, number), position, standing)


@then(
    'holder role {number:d} asked by an entry at {position:d} is "{standing}" '
    "{later_s:g} s later, since {since_s:g} s after the change"
)
def is_since(context, number, position, standing, later_s, since_s):
    context.roles.advance(later_s)
    found = check(context, host_of(context, number), position, standing)
    assert abs(found.since_s - 60.0 - since_s) < 0.001, found


@then('the new holder role asked by an entry at {position:d} is "{standing}"')
def new_is(context, position, standing):
    check(context, context.new, position, standing)


@then('the replaced holder role asked by an entry at {position:d} is "{standing}"')
def replaced_is(context, position, standing):
    check(context, context.replaced, position, standing)


@then(
    'the replaced holder role asked by an entry at {position:d} is "{standing}" '
    "{later_s:d} s later"
)
def replaced_is_later(context, position, standing, later_s):
    context.roles.advance(float(later_s))
    check(context, context.replaced, position, standing)
