"""Steps for faulty answers of targets on the direct path."""

from __future__ import annotations

from behave import given

LONG_NUMBER = "9" * 5000


@given('direct path targets answer with "{header}" of {number}')
def answer_with(context, header, number):
    value = number.replace("timeout and ", "timeout=")
    value = value.replace("5000 digits", LONG_NUMBER)
    for engine in context.direct.engines.values():
        engine.answer_headers[header] = value
