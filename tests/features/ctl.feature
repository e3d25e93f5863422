Feature: The command line tool wigeondriftctl

  Background:
    Given a running platform emulator for wigeondriftctl

  Scenario: An operator creates, shows and edits the table
    When wigeondriftctl runs "service set lm kind=model layers=4 version=v1"
    And wigeondriftctl runs "service set desk"
    And wigeondriftctl runs "team add large --generate"
    And wigeondriftctl runs "table set large lm weight=3 running=7 domains=rajkot,morbi"
    Then wigeondriftctl exits with 0
    When wigeondriftctl runs "table show"
    Then wigeondriftctl prints "w 3"
    And wigeondriftctl prints "7 running"
    And wigeondriftctl prints "in rajkot,morbi"
    When wigeondriftctl runs "table history"
    Then wigeondriftctl prints "limits/large/lm/weight"
    And wigeondriftctl prints "tester"
    When wigeondriftctl runs "table show --json"
    Then the JSON that wigeondriftctl prints has "large/lm" with weight 3
    When wigeondriftctl runs "team remove large"
    And wigeondriftctl runs "table show"
    Then wigeondriftctl does not print "large"

  Scenario Outline: A declaration is exported as <form> and imported again
    Given a table created by wigeondriftctl
    When wigeondriftctl exports as <form> and the weight in the file is changed to 5
    And wigeondriftctl compares the table with the declaration
    Then wigeondriftctl exits with 1
    And wigeondriftctl prints "limits/large/lm/weight"
    When wigeondriftctl imports the declaration as a dry run
    Then wigeondriftctl exits with 0
    And the weight in the table is 2
    When wigeondriftctl imports the declaration
    Then wigeondriftctl exits with 0
    And the weight in the table is 5
    When wigeondriftctl compares the table with the declaration
    Then wigeondriftctl exits with 0

    Examples:
      | form |
      | json |
      | csv  |

  Scenario Outline: wigeondriftctl rejects <command>
    Given a table created by wigeondriftctl
    When wigeondriftctl runs "<command>"
    Then wigeondriftctl exits with <code>
    And wigeondriftctl prints the error "<words>"

    Examples:
      | command                            | code | words                  |
      | table set large lm weight=heavy    | 2    | weight                 |
      | table set large lm wait=1          | 2    | weight, requests       |
      | table set none lm weight=1         | 1    | no team none           |
      | table set large lm weight=-1       | 2    | > 0.0                  |
      | table set none lm weight=1 --dry-run | 1  | no team none           |
      | service set other kind=model       | 1    | at least one layer     |
      | service remove none                | 2    | there is no none       |
      | team add small --key-file /dev/null/x | 2 | /dev/null/x            |
      | table import nowhere.json          | 1    | nowhere.json           |
      | table set large lm weight=3 --platform 127.0.0.1:9 | 4 | 127.0.0.1:9 |
      | table show --platform localhost:1  | 2    | numeric IP             |

  Scenario: All faults of a declaration are reported with their lines
    Then CSV files with three faults are rejected with the line of each fault

  Scenario: A conflict is shown and has its own exit code
    Given a table created by wigeondriftctl
    When another operator changes the weight while wigeondriftctl sets it
    Then wigeondriftctl exits with 3
    And wigeondriftctl prints "rival"

  Scenario: A write without an answer during an outage has its own exit code
    Given a table created by wigeondriftctl
    When the answer to the write of wigeondriftctl is lost and the platform is unavailable
    Then wigeondriftctl exits with 5
    And wigeondriftctl prints the error "table history"

  Scenario Outline: The committed schema of <program> matches the code
    When wigeondriftctl runs "settings schema <program>"
    Then wigeondriftctl prints the contents of "docs/settings-<program>.schema.json"

    Examples:
      | program |
      | entry   |
      | agent   |

  Scenario: All ten faults of a settings file are reported
    When wigeondriftctl checks a settings file with ten faults
    Then wigeondriftctl exits with 1
    And the JSON that wigeondriftctl prints has 10 faults

  Scenario: An operator settles a claim with an unknown outcome
    Given a claim with key "k-1" that was marked as lost 100 seconds ago
    When wigeondriftctl runs "orders list --json"
    Then the JSON that wigeondriftctl prints has 1 claim held by request "r-1"
    When wigeondriftctl runs "orders settle desk large k-1 not-run"
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "released"
    When wigeondriftctl runs "orders settle desk large k-1 not-run"
    Then wigeondriftctl exits with 0
    When wigeondriftctl runs "orders settle desk large k-1 ran"
    Then wigeondriftctl exits with 1
    And wigeondriftctl prints the error "the claim is released"
    When wigeondriftctl runs "orders show desk large k-1"
    Then wigeondriftctl prints "tester"

  Scenario: A claim is settled by the digest of its key
    Given a claim with key "k-1" that was marked as lost 100 seconds ago
    When wigeondriftctl settles the claim as ran, identified by the digest of its key
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "settled"

  Scenario: A claim whose holder may still send is not settled
    Given a claim with key "k-1" that was marked as lost 5 seconds ago
    When wigeondriftctl runs "orders settle desk large k-1 ran"
    Then wigeondriftctl exits with 1
    And wigeondriftctl prints the error "younger than 60 s"

  Scenario: A settlement without an answer has its own exit code
    Given a claim with key "k-1" that was marked as lost 100 seconds ago
    When wigeondriftctl settles the claim while the platform answers only reads
    Then wigeondriftctl exits with 5

  Scenario: wigeondriftctl shows the status of an agent
    Given a platform with 1 agents and an entry's link to each
    When the operators write the table with a limit of 5
    Then every agent and every link has the limit of 5 in force
    When wigeondriftctl requests the status of the agent
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "table_version"
    And wigeondriftctl prints "entries"

  Scenario: Operators edit the table in concurrent processes while the platform drops answers
    Given a table created by wigeondriftctl
    And the platform emulator drops a third of the answers to writes
    When 4 wigeondriftctl processes edit a cell each and another edits one of them
    Then the history contains the edits that exited with 0, and otherwise only unknown ones
    And the shared cell holds the value of an accepted edit
