Feature: Orders through real processes run at most once

  Scenario: Orders under lost answers, a paused entry, an outage and a kill
    Given a stack of processes
    When orders are repeated at once over both entries through four kinds of faults
    Then each order ran at most once and what was only ever refused never ran
    And each order is answered in the end, and new orders run

  Scenario: Orders in an outage of the platform are refused as not run, then run
    Given a stack of processes
    When orders are sent while the platform is down
    Then they are refused with outcome "not-run" and run after the outage
