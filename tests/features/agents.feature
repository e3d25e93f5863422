Feature: Agents hold the newest table and instance list

  Scenario: A table change comes into force at every agent and entry
    Given a platform with 3 agents and an entry's link to each
    When the operators write the table with a limit of 7
    Then every agent and every link has the limit of 7 in force
    When the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force

  Scenario: An agent cut from the platform gets a change from its peers
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is cut from the platform
    And the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force

  Scenario: An agent restarted in an outage gets the table from its peers
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When the platform goes down
    And agent 1 is killed and started again
    Then every agent and every link has the limit of 7 in force

  Scenario: A leave mark overtakes the lagging instance list
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    And an upstream "runner-1" that every link sees as live
    When link 0 reports that "runner-1" is leaving
    Then every link sees "runner-1" as leaving

  Scenario: An entry outlives its agent and reads the platform itself
    Given a platform with 2 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is killed
    Then link 0 notices that its agent is silent
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

  Scenario: An entry that needs more is lent what the others do not use
    Given a platform with 3 agents and an entry's link to each
    And the operators write the table with a limit of 90
    And every agent and every link has the limit of 90 in force
    When link 0 asks for 80 requests at once and the others for 1
    Then link 0 may run more than 60 and all together at most 90

  Scenario: An agent that froze is noticed and taken back
    Given a platform with 2 agents and an entry's link to each
    And the operators write the table with a limit of 7
    And every agent and every link has the limit of 7 in force
    When agent 0 is frozen
    Then link 0 notices that its agent is silent
    And agent 1 logs "peer_lost"
    When agent 0 runs on
    And the operators write the table with a limit of 9
    Then every agent and every link has the limit of 9 in force
    And link 0 hears its agent
    And agent 1 logs "peer_back"
