Feature: Model requests under random sequences of faults

  Scenario: A token stream accepts only the expected events
    Then 400 fuzzed token streams deliver a correct text

  Scenario: Callers get a correct text under any two simultaneous faults
    Then 60 fuzzed schedules of model requests keep all guarantees
