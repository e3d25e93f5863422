Feature: Model engine over its two forms

  Scenario Outline: An engine runs all layers once and ends with its mark over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When an order for 8 tokens is generated
    Then the engine's tokens are those of a sound pipeline
    And the engine's answer has its end mark

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: An engine resumes after tokens already known over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When an order for 8 tokens is generated after 3 known ones
    Then the engine's tokens are those of a sound pipeline from index 3
    And the engine's answer has its end mark

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: A leaving runner refuses before it runs anything over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When runner "r1" is told to leave
    And an order for 8 tokens is generated
    Then the engine refused with reason "leaving" of stage "r1"
    And the engine's ledger holds no run

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: The death of a later stage is named over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When runner "r1" is to die after 3 tokens
    And an order for 8 tokens is generated
    Then the engine's last event is a failure of stage "r1"

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: The death of the first stage breaks the connection over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When runner "r0" is to die after 3 tokens
    And an order for 8 tokens is generated
    Then the engine's connection was lost
    And a new order finds no connection

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: A cancelled attempt gives back its slots over <form>
    Given a <form> engine with stages of 4 and 8 layers
    When an order for 800 tokens is cancelled after its first token
    Then the engine's slots are free

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario: Stages in two processes give the same answer
    Given two http engines that hold one stage each
    When an order for 8 tokens is generated
    Then the engine's tokens are those of a sound pipeline

  Scenario: An event that does not decode is a violation
    Then the event parser refuses "{\"event\": \"surprise\"}"
    And the event parser refuses a line without end

  Scenario: The emulated engine runs as a process with switches
    Given an engine process with stages of 4 and 8 layers
    When the process is told to freeze "r1" and to crash "r0" on "bellows"
    Then an order for "cuckoo" makes no progress and one for "bellows" kills "r0"
