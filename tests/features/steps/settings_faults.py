import json

from behave import then, when

from tests.settings_samples import AGENT, ENTRY, TEN_FAULTS
from wigeondrift.errors import SettingsError
from wigeondrift.settings import AgentSettings, EntrySettings, parse_settings


def get_settings_error(document, kind):
    try:
        parse_settings("test.json", json.dumps(document).encode(), kind)
    except SettingsError as error:
        return error
    raise AssertionError("the settings were accepted")


def check_faults(found, expected):
    """Check that each expected pair of location and text occurs once, and no other."""
    unmatched = list(found)
    for location, text in expected:
        for fault in unmatched:
            if fault.location == location and text in fault.reason:
                unmatched.remove(fault)
                break
        else:
            raise AssertionError(f"no {location}: {text} in {unmatched}")
    assert not unmatched, unmatched


@when("entry settings with ten faults are validated")
def validate_ten_faults(context):
    context.refusal = get_settings_error(TEN_FAULTS, EntrySettings)


@then("the settings faults are")
def check_all_faults(context):
    expected = [(row["location"], row["reason"]) for row in context.table]
    assert len(expected) == 10
    check_faults(context.refusal.faults, expected)
    for location, _ in expected:
        assert f"test.json: {location}" in str(context.refusal)


@when("{kind} settings contain {member}")
def validate_member(context, kind, member):
    base, struct = (ENTRY, EntrySettings) if kind == "entry" else (AGENT, AgentSettings)
    parse_settings("test.json", json.dumps(base).encode(), struct)
    context.refusal = get_settings_error({**base, **json.loads(member)}, struct)


@then('the only settings fault is at "{location}" for "{reason}"')
def check_only_fault(context, location, reason):
    check_faults(context.refusal.faults, [(location, reason)])


@then('settings that are not JSON are refused at "{location}"')
def check_not_json(context, location):
    try:
        parse_settings("test.json", b"{", EntrySettings)
    except SettingsError as error:
        assert error.location == location
    else:
        raise AssertionError("the settings were accepted")
