Feature: The operator's tool

  Background:
    Given the platform emulator runs for the operator's tool

  Scenario: An operator fills, shows and edits the table
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

  Scenario Outline: A declaration goes out as <form> and in again
    Given a table filled by wigeondriftctl
    When wigeondriftctl exports as <form> and the weight in the file is changed to 5
    And wigeondriftctl compares the declaration
    Then wigeondriftctl exits with 1
    And wigeondriftctl prints "limits/large/lm/weight"
    When wigeondriftctl imports the declaration as a dry run
    Then wigeondriftctl exits with 0
    And the weight in the table is 2
    When wigeondriftctl imports the declaration
    Then wigeondriftctl exits with 0
    And the weight in the table is 5
    When wigeondriftctl compares the declaration
    Then wigeondriftctl exits with 0

    Examples:
      | form |
      | json |
      | csv  |

  Scenario Outline: wigeondriftctl refuses <command>
    Given a table filled by wigeondriftctl
    When wigeondriftctl runs "<command>"
    Then wigeondriftctl exits with <code>
    And wigeondriftctl complains of "<words>"

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

  Scenario: Faults of a declaration are all named with their lines
    Then CSV files with three faults are refused with their lines

  Scenario: A conflict is shown and has its own exit code
    Given a table filled by wigeondriftctl
    When another operator changes the weight while wigeondriftctl sets it
    Then wigeondriftctl exits with 3
    And wigeondriftctl prints "rival"

  Scenario: A lost answer in an outage has its own exit code
    Given a table filled by wigeondriftctl
    When the answer to the write of wigeondriftctl is lost and the platform goes down
    Then wigeondriftctl exits with 5
    And wigeondriftctl complains of "table history"

  Scenario Outline: The committed schema of <program> is that of the code
    When wigeondriftctl runs "settings schema <program>"
    Then wigeondriftctl prints what is in "docs/settings-<program>.schema.json"

    Examples:
      | program |
      | entry   |
      | agent   |

  Scenario: A settings file with ten faults gets ten lines
    When wigeondriftctl checks a settings file with ten faults
    Then wigeondriftctl exits with 1
    And the JSON that wigeondriftctl prints has 10 faults

  Scenario: An operator settles a claim of unknown outcome
    Given a claim of key "k-1" that was lost 100 seconds ago
    When wigeondriftctl runs "orders list --json"
    Then the JSON that wigeondriftctl prints has 1 claim of request "r-1"
    When wigeondriftctl runs "orders settle desk large k-1 not-run"
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "released"
    When wigeondriftctl runs "orders settle desk large k-1 not-run"
    Then wigeondriftctl exits with 0
    When wigeondriftctl runs "orders settle desk large k-1 ran"
    Then wigeondriftctl exits with 1
    And wigeondriftctl complains of "the claim is released"
    When wigeondriftctl runs "orders show desk large k-1"
    Then wigeondriftctl prints "tester"

  Scenario: A claim is settled by the digest of its key
    Given a claim of key "k-1" that was lost 100 seconds ago
    When wigeondriftctl settles the claim by its digest as ran
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "settled"

  Scenario: A claim whose holder may still send is not settled
    Given a claim of key "k-1" that was lost 5 seconds ago
    When wigeondriftctl runs "orders settle desk large k-1 ran"
    Then wigeondriftctl exits with 1
    And wigeondriftctl complains of "younger than 60 s"

  Scenario: A settlement without an answer has its own exit code
    Given a claim of key "k-1" that was lost 100 seconds ago
    When wigeondriftctl settles the claim while the platform answers reads only
    Then wigeondriftctl exits with 5

  Scenario: An agent tells its status to the operator's tool
    Given a platform with 1 agents and an entry's link to each
    When the operators write the table with a limit of 5
    Then every agent and every link has the limit of 5 in force
    When wigeondriftctl asks the agent for its status
    Then wigeondriftctl exits with 0
    And wigeondriftctl prints "table_version"
    And wigeondriftctl prints "entries"

  Scenario: Operators race as processes while the platform loses answers
    Given a table filled by wigeondriftctl
    And the platform emulator loses a third of the answers to writes
    When 4 wigeondriftctl processes edit cells of their own and one they share
    Then each edit that exited with 0 is in the history, and no other but unknown ones
    And the shared cell holds the value of an accepted edit
