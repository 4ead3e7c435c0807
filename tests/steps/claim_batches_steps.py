"""Steps for the batches of claim records."""

from __future__ import annotations

import math

from behave import given, then

from lentiltally.decisions.claim_batches import BatchAppendOutcome, ClaimBatcher

OUTCOMES = {"done": BatchAppendOutcome.DONE, "limited": BatchAppendOutcome.RATE_LIMITED}


@given("batches after {history}")
def batches_after(context, history):
    batcher = ClaimBatcher(max_batch=3)
    for event in history.split(", "):
        at, word, *rest = event.split()
        now_s = float(at) / 1000
        if word == "add":
            batcher.add(rest[0], now_s)
        elif word == "take":
            batcher.take(now_s)
        elif word == "withdraw":
            assert batcher.withdraw(rest[0])
        else:
            batcher.appended(OUTCOMES[word], now_s)
    context.batcher = batcher


@then("batches at {at_ms:g} ms return {batch} with a window of {window_ms:g} ms")
def batches_return(context, at_ms, batch, window_ms):
    assert math.isclose(context.batcher.window_s, window_ms / 1000)
    taken = context.batcher.take(at_ms / 1000 + 1e-9)
    assert (" ".join(taken) or "-") == batch, taken
