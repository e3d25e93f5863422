Feature: Edits of the table

  Scenario: Concurrent edits with lost, late and stale answers match a simple model
    Then fuzzing table edits against a dict of accepted cells finds no violation

  Scenario: Concurrent edits with a history too short to settle unanswered writes
    Then fuzzing table edits with a history of 2 changes finds no violation

  Scenario: Edits of different cells merge
    Given a table editor over a platform store in memory
    When two table edits change different cells of the same version
    Then both table edits are accepted and in the table

  Scenario: Edits of the same cell conflict
    Given a table editor over a platform store in memory
    When two table edits change the same cell of the same version
    Then the second table edit shows the conflict and its author

  Scenario: A write with a lost answer is confirmed by a read
    Given a table editor over a platform store in memory
    When the answer to the write of a table edit is lost
    Then the table edit is accepted once

  Scenario: An edit during an outage is not accepted
    Given a table editor over a platform store in memory
    When a table edit is submitted while the platform is down
    Then the table edit is unavailable and not in the table

  Scenario: A lost answer followed by an outage leaves the result of the edit unknown
    Given a table editor over a platform store in memory
    When the platform goes down after a table edit was written
    Then the result of the table edit is unknown

  Scenario Outline: A table is refused for <path>
    Then a table with <fault> is refused at "<path>" for "<reason>"

    Examples:
      | fault                   | path                 | reason              |
      | a stray limit           | limits/large/none    | no service none     |
      | a limit without team    | limits/none/lm       | no team none        |
      | a limit without slash   | limits/large         | team/service        |
      | a model without layers  | services/lm/layers   | at least one layer  |
      | a model without version | services/lm/version  | needs a version     |
      | a versioned service     | services/desk/version | no model version   |
      | a bad header            | services/desk/key_header | HTTP header     |
      | a shared key            | teams/small/key_digests | team large       |
      | a repeated key          | teams/large/key_digests | twice            |
      | a stray preference      | limits/large/lm/preferred | morbi          |
      | too many rows           |                      | more than the 1048576 |

  Scenario: A table that does not pass its checks is not applied
    When a replica is offered a valid table, then one with a stray limit
    Then the replica refuses the second table and keeps the first
