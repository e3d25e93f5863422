Feature: Measured pace of runners

  Guards against routers that go on using a slow route by the figures of its
  accelerators, that ask runners more than needed, or that believe news that are wrong or
  that nobody confirms any more.

  Scenario: New requests take the other route after the first slow streams
    Given eight routers, and two routes of which one is slow
    When the routers send requests for 0.5 seconds
    And the routers send requests for 2 seconds
    Then none of the later requests began on the slow route

  Scenario: The route is used again after its runners have recovered
    Given eight routers, and two routes of which one is slow
    When the routers send requests for 0.5 seconds
    And the slow route recovers
    And the routers run for 1.5 more seconds
    And the routers send requests for 1 seconds
    Then some of the later requests began on the slow route
    And no router knows a slow runner

  Scenario: A slow route still serves what the other has no room for
    Given eight routers, and two routes of which one is slow
    When the routers send requests for 0.5 seconds
    And a router sends 6 requests at the same time
    Then all of them are served, 2 of them on the slow route

  Scenario: Several routers with slow streams ask a runner about once a second
    Given eight routers, and two routes of which one is slow
    When each router has a stream on the slow route for 3 seconds
    Then each runner of the slow route was asked between 3 and 5 times
    And the other runners were not asked

  Scenario: Routers ask nothing and tell nothing without a slow runner
    Given eight routers, and two routes of which one is slow
    When the slow route recovers
    And the routers send requests for 2 seconds
    And a router sends 8 requests at the same time
    Then no runner was asked and nothing was told

  Scenario: The pace lapses after the router that told has ended
    Given eight routers, and two routes of which one is slow
    When one router has a stream on the slow route for 1 seconds
    And that router ends
    And the routers run for 1.4 more seconds
    Then the other routers know the pace of "first-0"
    When the routers run for 1.2 more seconds
    Then no other router knows a slow runner

  Scenario: Another router goes on asking after the one that told has ended
    Given eight routers, and two routes of which one is slow
    When one router has a stream on the slow route for 1 seconds
    And that router ends
    And each other router has a stream on the slow route for 3 seconds
    Then the other routers know the pace of "first-0"

  Scenario Outline: News that can't be true changes nothing
    Given eight routers, and two routes of which one is slow
    When a router tells a pace with <what>
    Then no router knows a slow runner

    Examples:
      | what                           |
      | an earlier incarnation         |
      | an upstream that is not listed |
      | a member of a plain service    |
      | a pace below 1                 |
      | a pace above 100               |
      | a pace that is not a number    |
      | a peer that is not known       |

  Scenario: A forged pace ends by itself
    Given eight routers, and two routes of which one is slow
    When the slow route recovers
    And a router tells of a pace of 50 for each runner and falls silent
    And the routers send requests for 1 seconds
    Then all requests were served
    When the routers run for 2.6 more seconds
    Then no router knows a slow runner

  Scenario Outline: A report with an odd pace is read without it
    Then a report with the pace <pace> tells <known>

    Examples:
      | pace    | known   |
      | 3.5     | 3.5     |
      | 2       | 2.0     |
      | "4"     | nothing |
      | null    | nothing |
      | true    | nothing |
      | [2]     | nothing |
      | 0.5     | nothing |
      | 100.5   | nothing |

  Scenario: Rates and preferred routes follow the pace
    Then the rate of a route follows the pace of its runners

  Scenario: A restarted runner has no pace
    Then the pace of a runner ends when it is listed with another incarnation

  Scenario: Random reports and news keep the bounds of the table
    Then random reports and news keep their bounds
