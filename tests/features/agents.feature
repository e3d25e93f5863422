Feature: Agents distribute the newest table and instance list

  Scenario: A table change is applied by every agent and entry
    Given a platform with 3 agents and an entry's link to each
    When the operators write the table with a limit of 7
    Then every agent and every link has the limit of 7 in force
    When the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force

  Scenario: An agent disconnected from the platform gets a change from its peers
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is disconnected from the platform
    And the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force

  Scenario: An agent restarted during an outage gets the table from its peers
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When the platform goes down
    And agent 1 is killed and started again
    Then every agent and every link has the limit of 7 in force

  Scenario: A leave mark takes effect before the delayed instance list
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    And an upstream "runner-1" that every link sees as live
    When link 0 reports that "runner-1" is leaving
    Then every link sees "runner-1" as leaving

  Scenario: An entry whose agent died reads the platform directly
    Given a platform with 2 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is killed
    Then link 0 detects that its agent is lost
    And link 0 has the limit of 7 in force
    When the operators write the table with a limit of 9
    Then link 0 has the limit of 9 in force

  Scenario: Death reports and quarantines reach every entry
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When link 2 reports that "f00d" is quarantined
    Then every link refuses "f00d"

  Scenario: A table that fails its check is refused and the one in force stays
    Given a platform with 2 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When a table that names no service of its limit is written
    Then every agent logs that it refused a table
    And every agent and every link has the limit of 7 in force
    When the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force

  Scenario: An entry with more demand gets the share that the others do not use
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 90
    And every agent and every link has the limit of 90 in force
    When link 0 demands 80 concurrent requests and the others 1
    Then link 0 may run more than 60 and all together at most 90

  Scenario: A paused agent is detected as lost and accepted again
    Given a platform with 2 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is paused
    Then link 0 detects that its agent is lost
    And agent 1 logs "peer_lost"
    When agent 0 is resumed
    And the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force
    And link 0 receives messages of its agent again
    And agent 1 logs "peer_back"
