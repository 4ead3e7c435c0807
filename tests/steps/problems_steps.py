"""Steps for refusals and their headers."""

from __future__ import annotations

from behave import then

from lentiltally.problems import Refusal, problem_headers


@then('a refusal for {wait_s:g} s has the header "Retry-After: {named}"')
def has_header(context, wait_s, named):
    refusal = Refusal(429, "r", "d", step="s", retry_after_s=wait_s)
    headers = dict(problem_headers(refusal, "id"))
    assert headers[b"Retry-After"] == named.encode(), headers
