Feature: The control plane keeps its guarantees under faults

  Scenario: Table, leave marks and limits under partitions, outages and restarts
    Then fuzzing the control plane finds no violated guarantee
