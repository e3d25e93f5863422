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
    """Run one command in this process; store its exit code and output."""
    stdout, stderr = io.StringIO(), io.StringIO()
    variables = {
        "WIGEONDRIFT_PLATFORM": context.address,
        "WIGEONDRIFT_AUTHOR": "tester",
    }
    with (
        mock.patch.dict(os.environ, variables),
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        context.exit_code = run_command(list(arguments))
    context.stdout = stdout.getvalue()
    context.stderr = stderr.getvalue()


@given("a running platform emulator for wigeondriftctl")
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
def check_exit_code(context, code):
    output = f"{context.exit_code}\n{context.stdout}\n{context.stderr}"
    assert context.exit_code == code, output


@then('wigeondriftctl prints "{text}"')
def check_stdout(context, text):
    assert text in context.stdout, context.stdout + context.stderr


@then('wigeondriftctl does not print "{text}"')
def check_not_in_stdout(context, text):
    assert text not in context.stdout, context.stdout


@then('wigeondriftctl prints the error "{text}"')
def check_stderr(context, text):
    unwrapped = " ".join(context.stderr.split())
    assert text in unwrapped, context.stdout + context.stderr


@then('the JSON that wigeondriftctl prints has "{row}" with weight {weight:d}')
def check_weight_in_json(context, row, weight):
    assert json.loads(context.stdout)["cells_by_row"][row]["weight"] == weight


@given("a table created by wigeondriftctl")
def create_table(context):
    run_tool(context, *["service", "set", "lm", "kind=model", "layers=4", "version=v1"])
    run_tool(context, *["team", "add", "large", "--generate"])
    run_tool(context, *["table", "set", "large", "lm", "weight=2"])
    check_exit_code(context, 0)


@when("wigeondriftctl exports as {form} and the weight in the file is changed to 5")
def export_and_change(context, form):
    directory = tempfile.TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.declaration = Path(directory.name) / "declared"
    run_tool(context, "table", "export", str(context.declaration), "--format", form)
    check_exit_code(context, 0)
    if form == "json":
        path, old, new = context.declaration, '"weight": 2.0', '"weight": 5'
    else:
        path, old, new = (
            context.declaration / "limits.csv",
            "large/lm,2.0",
            "large/lm,5",
        )
    text = path.read_text()
    assert text.count(old) == 1, text
    path.write_text(text.replace(old, new))


@when("wigeondriftctl compares the table with the declaration")
def diff_declaration(context):
    run_tool(context, "table", "diff", str(context.declaration))


@when("wigeondriftctl imports the declaration as a dry run")
def import_as_dry_run(context):
    run_tool(context, "table", "import", str(context.declaration), "--dry-run")


@when("wigeondriftctl imports the declaration")
def import_declaration(context):
    run_tool(context, "table", "import", str(context.declaration))


@then("the weight in the table is {weight:d}")
def check_weight(context, weight):
    run_tool(context, "table", "show", "--json")
    check_weight_in_json(context, "large/lm", weight)


@then("CSV files with three faults are rejected with the line of each fault")
def check_csv_faults(context):
    texts = {
        "services.csv": "name,kind,layers\nlm,model,many\n",
        "teams.csv": "name,color\nlarge,red\n",
        "limits.csv": "name,weight\nlarge/lm,1\nlarge/lm,2\n",
    }
    try:
        parse_csv("declared", texts)
    except SettingsError as error:
        locations = [fault.location for fault in error.faults]
        assert locations == ["services.csv:2: layers", "teams.csv:1", "limits.csv:3"], (
            locations
        )
    else:
        raise AssertionError("the files were accepted")


@when("another operator changes the weight while wigeondriftctl sets it")
def edit_concurrently(context):
    original_put = HttpPlatformStore.put
    conflicting_writes = []

    async def put(store, key, value, expected, lease=""):
        if not conflicting_writes:
            conflicting_writes.append(True)
            rival_value = value.replace(b'"weight":3', b'"weight":4').replace(
                b"tester", b"rival"
            )
            rival_value = rival_value.replace(get_change_id(value), b"f" * 32)
            await original_put(store, key, rival_value, expected)
        return await original_put(store, key, value, expected, lease)

    with mock.patch.object(HttpPlatformStore, "put", put):
        run_tool(context, *["table", "set", "large", "lm", "weight=3"])


def get_change_id(value):
    return json.loads(value)["changes"][-1]["change_id"].encode()


@when(
    "the answer to the write of wigeondriftctl is lost and the platform is unavailable"
)
def lose_write_answer(context):
    async def fail(store, *arguments):
        raise PlatformUnavailable("the platform is down")

    with mock.patch.object(HttpPlatformStore, "put", fail):
        original_get = HttpPlatformStore.get
        keys_read = []

        async def get(store, key):
            keys_read.append(key)
            if len(keys_read) > 2:
                raise PlatformUnavailable("the platform is down")
            return await original_get(store, key)

        with mock.patch.object(HttpPlatformStore, "get", get):
            line = "table set large lm weight=3 --patience 0.3"
            run_tool(context, *line.split())


@then('wigeondriftctl prints the contents of "{name}"')
def check_file_contents(context, name):
    committed = (Path(__file__).parents[3] / name).read_text()
    assert context.stdout == committed, f"write the command's output to {name}"


@when("wigeondriftctl checks a settings file with ten faults")
def check_ten_faults(context):
    path = write_settings(TEN_FAULTS)
    context.cleanups.append(lambda: os.unlink(path))
    run_tool(context, "settings", "check", path, "--json")


@then("the JSON that wigeondriftctl prints has {count:d} faults")
def check_fault_count(context, count):
    assert len(json.loads(context.stdout)) == count


@given('a claim with key "{key}" that was marked as lost {seconds:d} seconds ago')
def store_lost_claim(context, key, seconds):
    claim = Claim("c-1", "r-1", "0" * 64, time.time() - seconds, ClaimState.LOST)

    async def put():
        client = HttpClient()
        store = KeyClaimStore(HttpPlatformStore(client, context.address), TrioClock())
        await store.swap(make_claim_name("desk", "large", key), claim, 0)
        await client.close()

    trio.run(put)


@then(
    'the JSON that wigeondriftctl prints has {count:d} claim held by request "{holder}"'
)
def check_claims(context, count, holder):
    holders = [claim["request_id"] for claim in json.loads(context.stdout)]
    assert holders == [holder] * count, holders


@when("wigeondriftctl settles the claim as ran, identified by the digest of its key")
def settle_by_digest(context):
    digest = hashlib.sha256(b"k-1").hexdigest()
    run_tool(context, "orders", "settle", "desk", "large", digest, "ran")


@when("wigeondriftctl settles the claim while the platform answers only reads")
def settle_without_answer(context):
    async def fail(store, *arguments):
        raise PlatformUnavailable("the platform is down")

    with mock.patch.object(HttpPlatformStore, "put", fail):
        run_tool(context, *["orders", "settle", "desk", "large", "k-1", "ran"])


@when("wigeondriftctl requests the status of the agent")
def request_agent_status(context):
    run_tool(context, "status", "--agent", context.plane.message_addresses[0])


@given("the platform emulator drops a third of the answers to writes")
def drop_write_answers(context):
    async def post():
        client = HttpClient()
        body = json.dumps({"lost_probability": 0.33}).encode()
        async with client.request(
            context.address, "POST", "/control", body=body
        ) as response:
            assert response.status == 200
        await client.close()

    trio.run(post)


@when(
    "{count:d} wigeondriftctl processes edit a cell each and another edits one of them"
)
def run_concurrent_processes(context, count):
    columns = ("requests", "tokens", "running")
    context.processes_by_author = {}
    for index in range(count):
        cells = [f"weight={index + 3}"]
        if index < len(columns):
            cells = [f"{columns[index]}={index + 3}"]
        arguments = ["table", "set", "large", "lm", *cells]
        arguments += ["--platform", context.address, "--author", f"op{index}"]
        context.processes_by_author[f"op{index}"] = Process(
            "wigeondrift.operator", arguments
        )
    rival_arguments = ["table", "set", "large", "lm", "weight=9", "--author", "rival"]
    rival_arguments += ["--platform", context.address]
    context.processes_by_author["rival"] = Process(
        "wigeondrift.operator", rival_arguments
    )
    context.exit_codes_by_author = {
        author: process.popen.wait(30)
        for author, process in context.processes_by_author.items()
    }


@then(
    "the history contains the edits that exited with 0, and otherwise only unknown ones"
)
def check_history(context):
    run_tool(context, "table", "history", "--json")
    authors = [change["author"] for change in json.loads(context.stdout)]
    for author, code in context.exit_codes_by_author.items():
        assert code in (0, 3, 5), context.processes_by_author[author].log
        if code != 5:
            assert authors.count(author) == (code == 0), (author, code, authors)


@then("the shared cell holds the value of an accepted edit")
def check_shared_cell(context):
    run_tool(context, "table", "show", "--json")
    cell = json.loads(context.stdout)["cells_by_row"]["large/lm"]
    exit_codes = context.exit_codes_by_author
    values = {"op3": 6, "rival": 9}
    possible = [author for author in values if exit_codes[author] in (0, 5)]
    assert cell["weight"] in [values[author] for author in possible], (cell, exit_codes)
    for index, column in enumerate(("requests", "tokens", "running")):
        if exit_codes[f"op{index}"] == 0:
            assert cell[column] == index + 3, (cell, exit_codes)
