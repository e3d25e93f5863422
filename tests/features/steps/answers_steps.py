import json

from behave import then, when

from wigeondrift.errors import ERROR_RESPONSES_BY_KIND, ErrorKind, SettingsError
from wigeondrift.settings import EntrySettings, parse_settings
from wigeondrift.wire.messages import Digest, parse_message, serialize_message
from wigeondrift.wire.packing import compress_message, decompress_message


@then("each error kind has an answer with its own event number")
def check_answers(context):
    assert set(ERROR_RESPONSES_BY_KIND) == set(ErrorKind)
    numbers = {answer.event for answer in ERROR_RESPONSES_BY_KIND.values()}
    assert len(numbers) == len(ErrorKind)


@when("a digest is serialized and parsed")
def round_trip(context):
    context.digest = Digest("a", 1, "127.0.0.1:1", "rajkot", 2, 3, 4)
    context.parsed = parse_message(serialize_message(context.digest))


@then("the parsed message equals the digest")
def check_round_trip(context):
    assert context.parsed == context.digest


@when("settings with the document {document} are parsed")
def parse_document(context, document):
    context.refusal = None
    try:
        parse_settings("entry.json", json.dumps(json.loads(document)), EntrySettings)
    except SettingsError as refusal:
        context.refusal = refusal


@then('the settings are refused at "{location}" with "{text}"')
def check_refusal(context, location, text):
    assert context.refusal.location == location
    assert text in context.refusal.reason


@then(
    "a message of {size:d} equal bytes is packed into less than {bound:d} and unpacked"
)
def check_packing(context, size, bound):
    data = b"x" * size
    assert len(compress_message(data)) < bound
    assert decompress_message(compress_message(data), size) == data
    assert decompress_message(compress_message(b"short"), size) == b"short"


@then("a packed message that is truncated, unmarked or too large is refused")
def check_unpacking(context):
    packed = compress_message(b"x" * 100000)
    for bad in (packed[:-1], packed + b"y", b"\x02abc", b"", b"\x01abc", packed):
        bound = 99999 if bad is packed else 100000
        try:
            decompress_message(bad, bound)
        except ValueError:
            continue
        raise AssertionError(bad[:10])
