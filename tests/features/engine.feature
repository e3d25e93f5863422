Feature: Model engine in memory and over HTTP

  Scenario Outline: An engine runs all layers once and sends an end event over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When a request for 8 tokens is generated
    Then the engine's tokens are those of a correct pipeline
    And the engine's answer has an end event

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario Outline: An engine resumes after the tokens already known over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When a request for 8 tokens is generated after 3 known ones
    Then the engine's tokens are those of a correct pipeline from index 3
    And the engine's answer has an end event

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario Outline: A leaving runner refuses a request before running any of it over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When runner "r1" starts to leave
    And a request for 8 tokens is generated
    Then the engine refused the request with reason "leaving" for stage "r1"
    And the engine's ledger contains no run

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario Outline: The death of a later stage is reported with its name over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When runner "r1" is set to die after 3 tokens
    And a request for 8 tokens is generated
    Then the engine's last event is a failure of stage "r1"

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario Outline: The death of the first stage closes the connection over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When runner "r0" is set to die after 3 tokens
    And a request for 8 tokens is generated
    Then the engine's connection was lost
    And no connection can be made for a new request

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario Outline: A cancelled attempt releases its slots over <transport>
    Given a <transport> engine with stages of 4 and 8 layers
    When a request for 800 tokens is cancelled after its first token
    Then the engine's slots are free

    Examples:
      | transport |
      | memory    |
      | http      |

  Scenario: Stages in two processes give the same answer
    Given two http engines that hold one stage each
    When a request for 8 tokens is generated
    Then the engine's tokens are those of a correct pipeline

  Scenario: An event that cannot be decoded is a protocol violation
    Then the event parser rejects "{\"event\": \"surprise\"}"
    And the event parser rejects a line longer than its limit

  Scenario: The emulated engine runs as a process with fault injection
    Given an engine process with stages of 4 and 8 layers
    When the process is to freeze "r1" and to crash "r0" on "bellows"
    Then a request for "cuckoo" makes no progress and one for "bellows" crashes "r0"
