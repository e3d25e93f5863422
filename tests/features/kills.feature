Feature: Kills and stops of single processes under load

  Scenario: kill -9 of an entry
    Given a stack of processes
    When 6 streams run over each entry and the first entry is killed
    Then callers of the first entry got a truncated stream or no answer, never a complete one
    And callers of the other entry have complete and correct answers
    And the truncated requests succeed when repeated over the other entry

  Scenario: kill -9 of an entry while it sends orders
    Given a stack of processes
    When 20 orders are sent over both entries and the first entry is killed
    Then no order ran twice and each answered one ran
    And callers who repeat over the other entry get an answer or outcome unknown

  Scenario: kill -9 of an agent
    Given a stack of processes
    When 6 streams and 6 orders run and an agent is killed
    Then all answers are complete and correct and each order ran once

  Scenario: kill -9 of the stages of a failure domain
    Given a stack of processes
    When 6 streams run over each entry and the engines of one domain are killed
    Then all answers are complete and correct

  Scenario: A planned stop under load truncates and refuses nothing during the notice
    Given a stack of processes whose runners have 10 slots
    When an entry gets SIGTERM while streams run and more arrive during the notice
    Then all answers are complete and correct and the entry ended with exit code 0

  Scenario: A second SIGTERM ends a planned stop and marks no answer as complete
    Given a stack of processes
    When an entry gets SIGTERM twice while long streams run
    Then their callers got an error event, no end marker, and the exit code is 3
