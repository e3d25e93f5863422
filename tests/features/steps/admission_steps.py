from behave import then
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.admission import AdmissionMachine, FairQueueMachine
from tests.machines.coalescing import CoalescingMachine
from wigeondrift.entities import Instance, Role
from wigeondrift.systems.capacity import get_entry_slots
from wigeondrift.table.rows import ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables


def fuzz(machine, examples, steps):
    chosen = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
    )
    run_state_machine_as_test(machine, settings=chosen)


@then("fuzzing the admission control finds no violation")
def fuzz_admission(context):
    fuzz(AdmissionMachine, 100, 40)


@then("fuzzing the fair queue finds no violation")
def fuzz_fair_queue(context):
    fuzz(FairQueueMachine, 100, 40)


@then("fuzzing the request coalescing finds no violation")
def fuzz_coalescing(context):
    fuzz(CoalescingMachine, 100, 40)


def make_runner(index, slots):
    first = index % 3 * 4
    return Instance(
        f"runner-{index}",
        1,
        Role.RUNNER,
        "127.0.0.1:1",
        "rajkot",
        service="lm",
        version="v1",
        first_layer=first,
        end_layer=first + 4,
        slots=slots,
    )


@then(
    "{count:d} runners over 3 ranges with {slots:d} slots each give {part:d} slots "
    "to one entry of {entries:d}"
)
def check_slots(context, count, slots, part, entries):
    tables = Tables()
    model = ServiceRow(ServiceKind.MODEL, layers=12, version="v1")
    tables.table = Table(services_by_name={"lm": model})
    runners = [make_runner(index, slots) for index in range(count)]
    tables.instances_by_id = {runner.instance_id: runner for runner in runners}
    tables.entries = entries
    assert get_entry_slots(tables, "lm") == part
    context.tables = tables


@then("without the runners of one range the entry has one slot")
def check_gap(context):
    for name, runner in list(context.tables.instances_by_id.items()):
        if runner.first_layer == 4:
            del context.tables.instances_by_id[name]
    assert get_entry_slots(context.tables, "lm") == 1
