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

from tests.processes import Process, find_free_address, write_settings
from tests.settings_samples import TEN_FAULTS
from wigeondrift.entry.claim import Claim, ClaimState, make_claim_name
from wigeondrift.entry.claims import KeyClaimStore
from wigeondrift.errors import PlatformUnavailable, SettingsError
from wigeondrift.operator.ctl import run_command
from wigeondrift.operator.declaration import parse_csv
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.timer import TrioClock
from wigeondrift.wire.http_client import HttpClient


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
    context.address = find_free_address()
    arguments = ["--listen", context.address, "--writes-per-second", "0"]
    process = Process("wigeondrift_emulator.platform", arguments)
    context.cleanups = [process.kill]
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
    context.cleanups.append(directory.cleanup)
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
    committed = (Path(__file__).parents[3] / name).read_text()
    assert context.printed == committed, f"write the command's output to {name}"


@when("wigeondriftctl checks a settings file with ten faults")
def check_ten_faults(context):
    path = write_settings(TEN_FAULTS)
    context.cleanups.append(lambda: os.unlink(path))
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
    run_tool(context, "status", "--agent", context.plane.message_addresses[0])


@given("the platform emulator loses a third of the answers to writes")
def lose_answers(context):
    async def post():
        client = HttpClient()
        body = json.dumps({"lost_probability": 0.33}).encode()
        async with client.request(
            context.address, "POST", "/control", body=body
        ) as response:
            assert response.status == 200
        await client.close()

    trio.run(post)


@when("{count:d} wigeondriftctl processes edit cells of their own and one they share")
def race_processes(context, count):
    columns = ("requests", "tokens", "running")
    context.tools = {}
    for index in range(count):
        cells = [f"weight={index + 3}"]
        if index < len(columns):
            cells = [f"{columns[index]}={index + 3}"]
        arguments = ["table", "set", "large", "lm", *cells]
        arguments += ["--platform", context.address, "--author", f"op{index}"]
        context.tools[f"op{index}"] = Process("wigeondrift.operator", arguments)
    rival = ["table", "set", "large", "lm", "weight=9", "--author", "rival"]
    rival += ["--platform", context.address]
    context.tools["rival"] = Process("wigeondrift.operator", rival)
    context.codes = {
        author: tool.popen.wait(30) for author, tool in context.tools.items()
    }


@then("each edit that exited with 0 is in the history, and no other but unknown ones")
def check_history(context):
    run_tool(context, "table", "history", "--json")
    authors = [change["author"] for change in json.loads(context.printed)]
    for author, code in context.codes.items():
        assert code in (0, 3, 5), context.tools[author].log
        if code != 5:
            assert authors.count(author) == (code == 0), (author, code, authors)


@then("the shared cell holds the value of an accepted edit")
def check_shared(context):
    run_tool(context, "table", "show", "--json")
    cell = json.loads(context.printed)["cells_by_row"]["large/lm"]
    codes = context.codes
    values = {"op3": 6, "rival": 9}
    taken = [author for author in values if codes[author] in (0, 5)]
    assert cell["weight"] in [values[author] for author in taken], (cell, codes)
    for index, column in enumerate(("requests", "tokens", "running")):
        if codes[f"op{index}"] == 0:
            assert cell[column] == index + 3, (cell, codes)
