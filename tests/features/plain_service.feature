Feature: Clients of plain services distinguish "not sent" from "lost"

  Scenario Outline: A client of an upstream of form <form> detects answers, refusals and losses
    Given order upstreams of form <form>
    When order "a" is called with mode normal
    Then the order call is answered 201 and the ledger counts 1 for "a"
    When order "b" is called with mode refuse
    Then the order call is answered 503 as not run and the ledger counts 0 for "b"
    When order "c" is called with mode lose_answer
    Then the order call is lost and the ledger counts 1 for "c"
    When order "d" is called with mode silent
    Then the order call is lost and the ledger counts 0 for "d"
    When order "e" is called after its send deadline
    Then the order call is unsent and the ledger counts 0 for "e"
    When order "f" is called with mode crash_after
    Then the order call is lost and the ledger counts 1 for "f"
    When order "g" is called with mode normal
    Then the order call is unsent and the ledger counts 0 for "g"

    Examples:
      | form   |
      | memory |
      | http   |

  Scenario Outline: Upstreams of form <form> check fencing numbers and drop repeats
    Given order upstreams of form <form>
    When order "a" is called with fencing 2 where fencing is checked
    And order "a" is called with fencing 1 where fencing is checked
    Then the order call is answered 409 as not run and the ledger counts 1 for "a"
    When order "a" is called where repeats are dropped
    Then the order call is answered 201 and the ledger counts 1 for "a"

    Examples:
      | form   |
      | memory |
      | http   |
