Feature: Orders through separate processes run at most once

  Scenario: Orders under lost answers, a paused entry, an outage and a kill
    Given a stack of processes
    When orders are repeated concurrently over both entries under four kinds of faults
    Then each order ran at most once and orders that were always refused never ran
    And each order is eventually answered, and new orders run

  Scenario: Orders during a platform outage are refused as not run, then run after it
    Given a stack of processes
    When orders are sent while the platform is down
    Then they are refused with outcome "not-run" and run after the outage
