Feature: Admission and request coalescing

  Scenario: Admission keeps limits, slots, bounds and deadlines
    Then fuzzing the admission finds no fault

  Scenario: Teams are served by their weights
    Then fuzzing the fair queue finds no fault

  Scenario: A joined answer is whole and a run without readers ends
    Then fuzzing the request coalescing finds no fault

  Scenario: The slots of a model are those of its scarcest layer
    Then 9 runners over 3 ranges with 4 slots each give 12 slots to one entry of 1
    And 9 runners over 3 ranges with 4 slots each give 4 slots to one entry of 3
    And with one range gone the entry has one slot
