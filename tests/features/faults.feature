Feature: Routers share the faults of upstreams

  Scenario: After one router sees a dead stage, the others send no request into it
    Given eight routers and two replicas of a model
    When "second-0" dies and one router finds it
    Then 6 requests of each other router are served without meeting it
    And this held for 3 seconds

  Scenario: Routers that get no news each meet the dead stage
    Given eight routers and two replicas of a model
    And messages between the routers are lost
    When "second-0" dies and one router finds it
    Then at least 5 more requests of the others meet it

  Scenario: A dead first stage is told of when a connection to it is refused
    Given eight routers and two replicas of a model
    When "first-0" dies and one router finds it
    Then each other router avoids "first-0" alone

  Scenario: A runner short of memory is checked once and not told of
    Given eight routers and two replicas of a model
    And routers that don't probe
    When the first stages name the live "second-0" as at fault for 0.5 seconds
    Then one report of "second-0" was read by each router that was refused
    And no news were sent

  Scenario: A router tells of an upstream at most once a second, and the others not
    Given eight routers and two replicas of a model
    When "second-0" dies and one router finds it
    And all routers send requests for 4 seconds
    Then each router sent at most one message in each second
    And one router sent all of them
    And at most 1 other router read the report of a dead runner

  Scenario: An upstream that answers again is used as soon as the others hear of it
    Given eight routers and two replicas of a model
    When "second-0" dies and one router finds it
    And "second-0" answers again
    Then each other router avoids nothing 1.2 seconds later

  Scenario: News end with their time if the router that told has died
    Given eight routers and two replicas of a model
    When a router tells that "second-0" is at fault and falls silent
    Then each other router avoids "second-0" alone
    And each other router avoids nothing 1.6 seconds later

  Scenario: Forged news of all upstreams leave each service with most of its members
    Given eight routers and two replicas of a model
    When a router tells that all upstreams are at fault and falls silent
    Then each other router avoids at most a third of a service, or one upstream
    And 3 requests of each other router to "/draft/1" and "/status/1" are served
    And each other router avoids nothing 1.6 seconds later

  Scenario: Forged news of all routers about all upstreams leave a route and a member
    Given eight routers and two replicas of a model
    When all routers tell that all upstreams are at fault and fall silent
    Then 3 requests of each other router to "/draft/1" and "/status/1" are served
    And each other router avoids nothing 1.6 seconds later

  Scenario Outline: News that are about something else are dropped
    Given eight routers and two replicas of a model
    When news arrive of <what>
    Then each other router avoids nothing 0.01 seconds later

    Examples:
      | what                           |
      | an earlier incarnation         |
      | an earlier placement of layers |
      | an upstream that is not listed |
      | a link from a third domain     |

  Scenario: A recent answer of an upstream outweighs news of it
    Given eight routers and two replicas of a model
    When a router tells that "member-0" is at fault, which just served all others
    Then each other router avoids nothing 0.01 seconds later

  Scenario: A subscriber is told of faults found here and by others
    Given eight routers and two replicas of a model
    When "second-0" dies and one router finds it
    Then subscribers of all routers were told of "second-0" once

  Scenario Outline: Orders go where answers come from after one router has lost one
    Given eight routers and two replicas of a model
    And messages between the routers <arrive>
    When "member-0" loses its answers and one router has lost <lost>
    Then 3 orders of each other router bring <least> to <most> more losses
    And each router sent at most 4 messages

    Examples:
      | arrive     | lost | least | most |
      | are passed | 1    | 0     | 0    |
      | are lost   | 1    | 4     | 21   |

  Scenario: Members that all lose answers are all used, the least loaded first
    Given eight routers and two replicas of a model
    When all members lose answers
    Then each router still chooses a member, and a loaded one last

  Scenario: One lost answer weighs little for a member that answers many
    Then one loss of many answers, told by a peer, adds less than a request to the load

  Scenario: Whatever news arrive, one peer's word is bounded and all of it ends
    Then random news keep their bounds

  Scenario: Runners that die together don't take the rest of their domain out of use
    Given eight routers and two replicas of a model
    And three runners in "west"
    When two runners in "west" can't be reached by one router
    Then that router counts "west" as cut off for less than 0.1 seconds

  Scenario: Many routers that answer the news of a loss tell of a member less often
    Given the outcome table of a router that hears of losses from 96 others
    Then it tells of its answers at most 3 times in 10 seconds, and of its own loss within 1 s
