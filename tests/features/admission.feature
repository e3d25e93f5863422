Feature: Admission and request coalescing

  Scenario: Admission control enforces limits, slots, queue bounds and deadlines
    Then fuzzing the admission control finds no violation

  Scenario: Teams are served in proportion to their weights
    Then fuzzing the fair queue finds no violation

  Scenario: Joined requests read the complete answer and a run without readers ends
    Then fuzzing the request coalescing finds no violation

  Scenario: The layer with the fewest slots determines the slots of a model
    Then 9 runners over 3 ranges with 4 slots each give 12 slots to one entry of 1
    And 9 runners over 3 ranges with 4 slots each give 4 slots to one entry of 3
    And without the runners of one range the entry has one slot
