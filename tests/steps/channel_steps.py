"""Steps for the channels between processes."""

from __future__ import annotations

import threading

from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.wire import Release
from lentiltally.wire.channel import Inbox, Outbox
from tools._ports import free_port

WAIT_S = 10.0


@given("inbox whose handler takes {time_s:g} s")
def slow_inbox(context, time_s):
    context.handler_started, context.handled = threading.Event(), threading.Event()
    unset_event = threading.Event()

    def handle(message):
        context.handler_started.set()
        unset_event.wait(time_s)
        context.handled.set()

    context.address = f"tcp://127.0.0.1:{free_port()}"
    context.inbox = Inbox(context.address, handle)
    context.inbox.start()


@when("inbox receives a message and is closed while the handler runs")
def closed_during_handling(context):
    outbox = Outbox(context.address, SystemClock())
    outbox.put(Release("r1"))
    assert context.handler_started.wait(WAIT_S)
    context.inbox.close()
    context.threads = [thread.name for thread in threading.enumerate()]
    context.was_handled = context.handled.is_set()
    outbox.close()


@then("inbox has no running thread and has handled the message")
def thread_stopped(context):
    assert "inbox" not in context.threads, context.threads
    assert context.was_handled
