from behave import then
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.control import ControlMachine

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=30,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


@then("fuzzing the control plane finds no violated guarantee")
def run_machine(context):
    run_state_machine_as_test(ControlMachine, settings=SETTINGS)
