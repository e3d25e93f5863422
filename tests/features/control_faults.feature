Feature: The control plane holds its promises under any faults

  Scenario: Table, leave marks and limits under cuts, outages and restarts
    Then the control machine finds no broken promise
