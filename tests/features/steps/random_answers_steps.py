"""Steps on random answers of upstreams."""

from behave import then

from tests.machines.answers import AnswerMachine


@then("random answers with the seeds {first:d} to {last:d} break no promise")
def play_random_answers(context, first, last):
    for seed in range(first, last + 1):
        violations = AnswerMachine(seed).run()
        assert not violations, (seed, violations)
