from behave import then

from tests.machines import generation, streams


@then("{examples:d} fuzzed token streams deliver a correct text")
def fuzz_streams(context, examples):
    streams.run(examples)


@then("{examples:d} fuzzed schedules of model requests keep all guarantees")
def fuzz_generations(context, examples):
    generation.run(examples)
