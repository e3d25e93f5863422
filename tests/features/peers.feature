Feature: Messages between routers

  Scenario: A restarted router is heard at once, whatever its clock says
    Given a ledger that applied message 5000 of "east-2", which uses 40 cells
    When message 1 of a new process of "east-2" arrives, which uses 70 cells
    Then the ledger counts 70 cells

  Scenario: A message that arrives again or late is ignored
    Given a ledger that applied message 5000 of "east-2", which uses 40 cells
    When message 4999 of the same process of "east-2" arrives, which uses 70 cells
    Then the ledger counts 40 cells

  Scenario: Both collectors of a domain are heard, also with clocks hours apart
    Given a ledger that applied message 9000000 of "sum:west", which uses 40 cells
    When message 1 of a new process of "sum:west" arrives, which uses 70 cells
    And message 9000001 of the same process of "sum:west" arrives, which uses 50 cells
    And message 2 of a new process of "sum:west" arrives, which uses 60 cells
    Then the ledger counts 60 cells

  Scenario: No module of the router reads the time of day
    Then no module below wigeondrift/router, systems or platform reads the time of day

  Scenario Outline: A bad datagram is ignored, and the next message is applied
    Given a router that listens for the usage of "east-2"
    When a datagram from <sender> brings <datagram>
    And "east-2" sends its usage of 70 cells
    Then the ledger counts 70 cells
    And the router has got news of 0 deaths

    Examples:
      | sender     | datagram                      |
      | "east-2"   | bytes that are no message     |
      | "east-2"   | text that is not UTF-8        |
      | "east-2"   | arrays nested 20000 deep      |
      | "east-2"   | usage that is not a number    |
      | "east-2"   | usage that is infinite        |
      | "east-2"   | usage that is negative        |
      | "east-2"   | the usage of "east-3"         |
      | a stranger | the usage of "east-2"         |
      | a stranger | a far sequence number         |
      | "east-2"   | news of a death without text  |
      | "east-2"   | news of too many deaths       |
      | "east-2"   | news with a long digest       |
      | a stranger | news of two deaths            |
      | "east-2"   | a negative limit              |
      | "east-2"   | an endless wait               |
      | "east-2"   | an endless share of retries   |
      | "east-2"   | news of a fault of no known kind |
      | "east-2"   | news of a fault before all time |
      | "east-2"   | news of a pace that is no number |

  Scenario: News of deaths reach a peer at once
    Given a router that listens for the usage of "east-2"
    When a datagram from "east-2" brings news of two deaths
    And "east-2" sends its usage of 70 cells
    Then the ledger counts 70 cells
    And the router has got news of 2 deaths

  Scenario: News of waiting requests counts for the peer that sent it alone
    Given a router that listens for the usage of "east-2"
    When a datagram from "east-2" brings its pressure
    And a datagram from "east-2" brings the pressure of "east-3"
    And a datagram from a stranger brings its pressure
    And "east-2" sends its usage of 70 cells
    Then the ledger counts 70 cells
    And the router has only the pressure of "east-2"

  Scenario: A peer that asks for a permit gets an answer, a stranger none
    Given a router that listens for the usage of "east-2"
    When a datagram from "east-2" brings a request for a permit
    And a datagram from a stranger brings a request for a permit
    And "east-2" sends its usage of 70 cells
    Then "east-2" got an answer to its request, and the stranger none

  Scenario: News of deaths are sent to all peers
    Then a router that sees a death sends news of it to its peer

  Scenario Outline: A router's entry that can't be used is no peer
    Given a list of routers with the entry <entry>
    Then the router has no peers

    Examples:
      | entry                                                        |
      | {"address": "10.0.0.1", "failure_domain": "east"}            |
      | {"address": "10.0.0.1:http", "failure_domain": "east"}       |
      | {"address": "10.0.0.1:999999999", "failure_domain": "east"}  |
      | {"address": 5, "failure_domain": "east"}                     |
      | [[[                                                          |
