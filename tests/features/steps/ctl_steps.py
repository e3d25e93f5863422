import contextlib
import hashlib
import io
import json
import os
import tempfile
import time
from pathlib import Path
from unittest import mock

import trio
from behave import given, then, when

from tests.processes import Process, free_address, write_settings
from tests.settings_samples import TEN_FAULTS
from wigeondrift.claim import Claim, ClaimState, make_claim_name
from wigeondrift.claims import KeyClaimStore
from wigeondrift.ctl import run_command
from wigeondrift.declaration import parse_csv
from wigeondrift.errors import PlatformUnavailable, SettingsError
from wigeondrift.http import HttpClient
from wigeondrift.platform_http import HttpPlatformStore
from wigeondrift.timer import TrioClock


def run_tool(context, *arguments):
    """Run one command in this process and keep what it printed."""
    printed, complained = io.StringIO(), io.StringIO()
    names = {"WIGEONDRIFT_PLATFORM": context.address, "WIGEONDRIFT_AUTHOR": "tester"}
    with (
        mock.patch.dict(os.environ, names),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(complained),
    ):
        context.code = run_command(list(arguments))
    context.printed = printed.getvalue()
    context.complained = complained.getvalue()


@given("the platform emulator runs for the operator's tool")
def start_platform(context):
    context.address = free_address()
    arguments = ["--listen", context.address, "--writes-per-second", "0"]
    process = Process("wigeondrift_emulator.platform", arguments)
    context.closers = [process.kill]
    process.wait_for_event("started")


@when('wigeondriftctl runs "{line}"')
def run_line(context, line):
    run_tool(context, *line.split())


@then("wigeondriftctl exits with {code:d}")
def check_code(context, code):
    seen = f"{context.code}\n{context.printed}\n{context.complained}"
    assert context.code == code, seen


@then('wigeondriftctl prints "{words}"')
def check_printed(context, words):
    assert words in context.printed, context.printed + context.complained


@then('wigeondriftctl does not print "{words}"')
def check_not_printed(context, words):
    assert words not in context.printed, context.printed


@then('wigeondriftctl complains of "{words}"')
def check_complained(context, words):
    plain = " ".join(context.complained.split())
    assert words in plain, context.printed + context.complained


@then('the JSON that wigeondriftctl prints has "{row}" with weight {weight:d}')
def check_json(context, row, weight):
    assert json.loads(context.printed)["cells_by_row"][row]["weight"] == weight


@given("a table filled by wigeondriftctl")
def fill_table(context):
    run_tool(context, *["service", "set", "lm", "kind=model", "layers=4", "version=v1"])
    run_tool(context, *["team", "add", "large", "--generate"])
    run_tool(context, *["table", "set", "large", "lm", "weight=2"])
    check_code(context, 0)


@when("wigeondriftctl exports as {form} and the weight in the file is changed to 5")
def export_and_change(context, form):
    directory = tempfile.TemporaryDirectory()
    context.closers.append(directory.cleanup)
    context.declaration = Path(directory.name) / "declared"
    run_tool(context, "table", "export", str(context.declaration), "--format", form)
    check_code(context, 0)
    if form == "json":
        place, old, new = context.declaration, '"weight": 2.0', '"weight": 5'
    else:
        place, old, new = (
            context.declaration / "limits.csv",
            "large/lm,2.0",
            "large/lm,5",
        )
    text = place.read_text()
    assert text.count(old) == 1, text
    place.write_text(text.replace(old, new))


@when("wigeondriftctl compares the declaration")
def compare(context):
    run_tool(context, "table", "diff", str(context.declaration))


@when("wigeondriftctl imports the declaration as a dry run")
def import_dry(context):
    run_tool(context, "table", "import", str(context.declaration), "--dry-run")


@when("wigeondriftctl imports the declaration")
def import_declaration(context):
    run_tool(context, "table", "import", str(context.declaration))


@then("the weight in the table is {weight:d}")
def check_weight(context, weight):
    run_tool(context, "table", "show", "--json")
    check_json(context, "large/lm", weight)


@then("CSV files with three faults are refused with their lines")
def check_csv_faults(context):
    texts = {
        "services.csv": "name,kind,layers\nlm,model,many\n",
        "teams.csv": "name,color\nlarge,red\n",
        "limits.csv": "name,weight\nlarge/lm,1\nlarge/lm,2\n",
    }
    try:
        parse_csv("declared", texts)
    except SettingsError as error:
        places = [fault.location for fault in error.faults]
        assert places == ["services.csv:2: layers", "teams.csv:1", "limits.csv:3"], (
            places
        )
    else:
        raise AssertionError("the files were taken")


@when("another operator changes the weight while wigeondriftctl sets it")
def race(context):
    real = HttpPlatformStore.put
    raced = []

    async def put(store, key, value, expected, lease=""):
        if not raced:
            raced.append(True)
            rival = value.replace(b'"weight":3', b'"weight":4').replace(
                b"tester", b"rival"
            )
            rival = rival.replace(raced_id(value), b"f" * 32)
            await real(store, key, rival, expected)
        return await real(store, key, value, expected, lease)

    with mock.patch.object(HttpPlatformStore, "put", put):
        run_tool(context, *["table", "set", "large", "lm", "weight=3"])


def raced_id(value):
    return json.loads(value)["changes"][-1]["change_id"].encode()


@when("the answer to the write of wigeondriftctl is lost and the platform goes down")
def lose_answer(context):
    async def fail(store, *arguments):
        raise PlatformUnavailable("the platform is down")

    with mock.patch.object(HttpPlatformStore, "put", fail):
        real = HttpPlatformStore.get
        reads = []

        async def get(store, key):
            reads.append(key)
            if len(reads) > 2:
                raise PlatformUnavailable("the platform is down")
            return await real(store, key)

        with mock.patch.object(HttpPlatformStore, "get", get):
            line = "table set large lm weight=3 --patience 0.3"
            run_tool(context, *line.split())


@then('wigeondriftctl prints what is in "{name}"')
def check_file(context, name):
    assert context.printed == (Path(__file__).parents[3] / name).read_text()


@when("wigeondriftctl checks a settings file with ten faults")
def check_ten_faults(context):
    path = write_settings(TEN_FAULTS)
    context.closers.append(lambda: os.unlink(path))
    run_tool(context, "settings", "check", path, "--json")


@then("the JSON that wigeondriftctl prints has {count:d} faults")
def check_fault_count(context, count):
    assert len(json.loads(context.printed)) == count


@given('a claim of key "{key}" that was lost {seconds:d} seconds ago')
def put_claim(context, key, seconds):
    claim = Claim("c-1", "r-1", "0" * 64, time.time() - seconds, ClaimState.LOST)

    async def put():
        client = HttpClient()
        store = KeyClaimStore(HttpPlatformStore(client, context.address), TrioClock())
        await store.swap(make_claim_name("desk", "large", key), claim, 0)
        await client.close()

    trio.run(put)


@then('the JSON that wigeondriftctl prints has {count:d} claim of request "{holder}"')
def check_claims(context, count, holder):
    holders = [claim["request_id"] for claim in json.loads(context.printed)]
    assert holders == [holder] * count, holders


@when("wigeondriftctl settles the claim by its digest as ran")
def settle_by_digest(context):
    digest = hashlib.sha256(b"k-1").hexdigest()
    run_tool(context, "orders", "settle", "desk", "large", digest, "ran")


@when("wigeondriftctl settles the claim while the platform answers reads only")
def settle_without_answer(context):
    async def fail(store, *arguments):
        raise PlatformUnavailable("the platform is down")

    with mock.patch.object(HttpPlatformStore, "put", fail):
        run_tool(context, *["orders", "settle", "desk", "large", "k-1", "ran"])


@when("wigeondriftctl asks the agent for its status")
def ask_agent(context):
    run_tool(context, "status", "--agent", context.plane.posts[0])
