"""Steps for the encoding of frames."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.wire import FrameError, Release, decode, encode


@given('codec messages release "{first}" and release "{second}"')
def codec_messages(context, first, second):
    context.messages = [Release(first), Release(second)]


@when("codec encodes and decodes them")
def codec_round_trip(context):
    context.result = decode(encode(context.messages))


@then("codec returns the same messages")
def codec_same(context):
    assert context.result == context.messages


@when("codec decodes the frame {text}")
def codec_decodes(context, text):
    frame = b"" if text == "empty" else bytes.fromhex(text)
    try:
        decode(frame)
    except FrameError as error:
        context.error = error
    else:
        raise AssertionError("the frame was accepted")


@then("codec reports {reason}")
def codec_reports(context, reason):
    assert reason in str(context.error), context.error
