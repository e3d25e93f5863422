Feature: Model requests under any order of faults

  Scenario: A token stream takes only what is due
    Then 400 fuzzed token streams hand on a sound text

  Scenario: Callers see sound text under any two faults at once
    Then 60 fuzzed schedules of model requests keep their promises
