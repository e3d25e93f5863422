Feature: Fault-injection soak test

  Scenario Outline: Each invariant of the soak test detects its violation
    Given records of successful requests at callers and upstreams
    Then no invariant is violated
    When <event>
    Then the violated invariant is "<word>"

    Examples:
      | event                                               | word      |
      | an order runs at a second upstream                  | twice     |
      | an order that ran was answered as not run           | refused   |
      | a status request gets the answer of another request | mixed     |
      | a draft misses an event and looks complete          | order     |
      | a draft repeats an event before it is cut           | order     |
      | a request ran that no caller sent                   | unasked   |
      | a request ran with a key revoked long ago           | key       |
      | a request that ran got no complete answer           | lost      |

  Scenario Outline: A short soak test of the real programs violates no invariant
    Then a soak test of <seconds> seconds with seed <seed> violates no invariant

    Examples:
      | seed | seconds |
      | 4    | 4       |
      | 7    | 4       |

  Scenario: A short soak test with restorations of the store violates no invariant
    Then a soak test with restorations and seed 5003 violates no invariant

  Scenario: A signal to reload the settings during the start does not end a router
    Then a router that gets SIGHUP while it imports its modules goes on to start
