Feature: The store is restored from a copy and loses what it had acknowledged

  Background:
    Given a platform with two members of a plain service
    And runners of six replicas of the model

  Scenario: A restoration is logged with the eras and revisions before and after it
    When a copy of the store is made
    And configuration version 2 adds the route "added"
    And the store is restored from the copy
    Then the log tells that a store at a lower revision has taken the place of another

  Scenario Outline: A change after a restoration is in force at a router in time
    When a copy of the store is made
    And <lost> changes are made
    And the store is restored, and at once version 3 and <later> changes written
    Then a request for the route "added" is complete

    Examples:
      | lost | later |
      | 6    | 0     |
      | 6    | 3     |
      | 6    | 9     |
      | 60   | 90    |

  Scenario Outline: A store that was restored is not asked without pause
    When a copy of the store is made
    And <lost> changes are made
    And the store is restored from the copy
    Then the router calls the store at most 30 times in 10 seconds
    And each version was applied once

    Examples:
      | lost |
      | 0    |
      | 6    |
      | 60   |

  Scenario Outline: A lease that a restored store has granted to another is left alone
    When a copy of the store is made
    And a router holds a lease that the store loses, and grants again to another
    Then the first router can't <use> the lease, and the other's key stays

    Examples:
      | use   |
      | renew |
      | write |
      | end   |

  Scenario: A planner does not go on with a lease of a history that was lost
    When a copy of the store is made
    And the router leads the planning
    And the store is restored from the copy, and a second router has its lease number
    Then only one of the two leads the planning at any time

  Scenario Outline: Upstreams that had left are not used when a copy lists them
    When a copy of the store is made
    And member "d3" joins and the other members <leave>
    And the store is restored from the copy, and not written again for 1 seconds
    Then 10 requests are served by "d3" alone
    And all other members are used again once their next incarnations are listed

    Examples:
      | leave         |
      | drain         |
      | are delisted  |

  Scenario: Upstreams that a restored store has lost are dropped if they stay missing
    When a copy of the store is made
    And member "d3" joins and the other members stay
    And the store is restored from the copy, and not written again for 3 seconds
    Then 10 requests are served, none of them by "d3"

  Scenario: A version that a restored store has lost may come again with other contents
    When a copy of the store is made
    And configuration version 2 adds the route "lost"
    And the store is restored from the copy, and not written again for 1 seconds
    And configuration version 2 adds the route "added"
    Then a request for the route "added" is complete

  Scenario: A version that was in force stays so until a restored store has it again
    When a copy of the store is made
    And configuration version 2 adds the route "added"
    And the store is restored from the copy, and not written again for 3 seconds
    Then a request for the route "added" is complete
    And each version was applied once

  Scenario: An upstream that lives and is listed without a new entry is used again
    When a copy of the store is made
    And member "d3" joins and the other members are delisted
    And the store is restored from the copy, and not written again for 1 seconds
    Then 10 requests are served by "d3" alone
    And after 6 seconds all members that are still listed are used

  Scenario: A router that starts on an earlier copy refuses a key that its peers know to be revoked
    When a second router starts while the store holds a copy without the revocation
    Then the second router refuses the key until the operator has written again

  Scenario: A router that starts serves keys although its peer does not answer
    When a second router starts whose peer does not answer
    Then the second router serves the key within a second
