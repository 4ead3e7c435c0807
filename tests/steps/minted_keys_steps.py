"""Steps for minted idempotency keys."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions import minted_keys


@when("minted key is verified after {change}")
def minted_verified(context, change):
    key = minted_keys.mint(b"secret", "agent-1", "run-1", "n1")
    other = minted_keys.mint(b"wrong", "agent-1", "run-2", "n1")
    secrets = {
        "another secret": [b"other"],
        "a new secret beside the old one": [b"new", b"secret"],
    }.get(change, [b"secret"])
    text = {
        "another incarnation": other.rpartition(".")[0] + "." + key.rpartition(".")[2],
        "a truncated signature": key[:-1],
        "other text": "not a key \udcff",
    }.get(change, key)
    context.minted = minted_keys.verify(secrets, text)


@then("minted key is {verdict}")
def minted_is(context, verdict):
    expected = minted_keys.MintedKey("agent-1", "run-1", "n1")
    assert context.minted == (expected if verdict == "accepted" else None)


def _offer(table, event):
    at, nonce, digest, attempt_id = event.split()
    return table.offer(nonce, digest.encode(), attempt_id, float(at))


@given("minted key table after {history}")
def minted_table(context, history):
    context.minted_table = minted_keys.MintedKeyTable(max_keys=2, lifetime_s=10)
    for event in history.split(", "):
        if event != "0 nothing":
            _offer(context.minted_table, event)


@then("minted key table returns {result} for {offer}")
def minted_table_returns(context, result, offer):
    assert type(_offer(context.minted_table, offer)).__name__ == result
