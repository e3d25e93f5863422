Feature: Edits of the table

  Scenario: Operators race on the table over lost, late and stale answers
    Then the table edits hold against a dict of accepted cells

  Scenario: Operators race while the history is too short to tell
    Then the table edits hold with a history of 2 changes

  Scenario: Edits of different cells merge
    Given a table editor over a platform store in memory
    When two table edits change different cells of the same version
    Then both table edits are accepted and in the table

  Scenario: Edits of the same cell conflict
    Given a table editor over a platform store in memory
    When two table edits change the same cell of the same version
    Then the second table edit shows the conflict and its author

  Scenario: A lost answer is settled by reading back
    Given a table editor over a platform store in memory
    When the answer to the write of a table edit is lost
    Then the table edit is accepted once

  Scenario: An edit in an outage is not accepted
    Given a table editor over a platform store in memory
    When a table edit is tried while the platform is down
    Then the table edit is unavailable and not in the table

  Scenario: A lost answer in an outage leaves the edit unknown
    Given a table editor over a platform store in memory
    When the platform goes down after a table edit was written
    Then the table edit is unknown

  Scenario Outline: A table is refused for <path>
    Then a table with <fault> is refused at "<path>" for "<reason>"

    Examples:
      | fault                   | path                 | reason              |
      | a stray limit           | limits/large/none    | no service none     |
      | a limit without team    | limits/none/lm       | no team none        |
      | a limit without slash   | limits/large         | team/service        |
      | a model without layers  | services/lm/layers   | at least one layer  |
      | a model without version | services/lm/version  | names its version   |
      | a versioned service     | services/desk/version | no model version   |
      | a bad header            | services/desk/key_header | HTTP header     |
      | a shared key            | teams/small/key_digests | team large       |
      | a repeated key          | teams/large/key_digests | twice            |
      | a stray preference      | limits/large/lm/preferred | morbi          |
      | too many rows           |                      | more than the 1048576 |

  Scenario: A table that does not pass its checks does not come into force
    When a replica is offered a sound table, then one with a stray limit
    Then the replica refuses the second table and keeps the first
