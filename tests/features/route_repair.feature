Feature: Streams whose later stages are lost go on at their first runner

  # Guards against a second arrival at a first runner for each stream of a dead stage.
  Scenario Outline: After a joint failure all streams go on without a second arrival
    Given 4 replicas of 3 stages with 30 streams each and 2 spare runners
    When the later stages <stages> die at once after <seconds> seconds
    Then each stream has all its events exactly once
    And each request arrived at one first runner once
    And each stream ended within <bound> seconds of the failure
    And no capacity is reserved

    Examples: of three replicas, two of one replica, and before the first events
      | stages   | seconds | bound |
      | b0 c1 b2 | 0.4     | 1.5   |
      | b0 c0 b2 | 0.4     | 1.5   |
      | b0 c1 b2 | 0.01    | 2.0   |

  # Guards against orders of all streams at once, which delay those that are on time.
  Scenario: The repairs of streams that lost the same runner are bounded
    When 100 streams ask for the repair of one runner
    Then at most 32 repairs run at a time, and all 100 run
    And streams that can still be on time are repaired before late ones

  Scenario Outline: A stream that a dead stage stalls goes on over another runner
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the route allows <attempts> attempts
    When the second stage dies after <seconds> seconds of a stream
    Then the stream is complete with events 0 to 19
    And the first runner got one request and an order over "<spare>"
    And no capacity is reserved

    Examples: with attempts left, without, and before the first event
      | attempts | seconds | spare |
      | 2        | 0.1     | c2    |
      | 1        | 0.1     | c2    |
      | 2        | 0.005   | c2    |

  # Guards against a stream given up because the first choice is not there.
  Scenario: An order that names a missing part is sent once more without it
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the first runner refuses orders over "c2"
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And the first runner got one request and an order over "b2"
    And no capacity is reserved

  # Guards against events of two runs in one response, capacity that stays reserved, and
  # a late order that moves the resumed stream.
  Scenario: A stream whose order is carried out late is resumed at another first runner
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the first runner answers orders by "late"
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And the stream was resumed at the first stage of the other replica
    And no capacity is reserved

  Scenario: A stream whose order is refused is resumed over another route
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the first runner answers orders by "conflict"
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And 2 requests arrived at first runners, and no order was carried out
    And no capacity is reserved

  Scenario: A stream whose first runner dies during the repair is resumed elsewhere
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the first runner answers orders by "late"
    And the first runner dies 1.2 seconds after the start
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And the stream was resumed at the first stage of the other replica
    And no capacity is reserved

  Scenario: A stream whose new runner dies at once is repaired again
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the runner "c2" dies when it gets the stream
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And the first runner got one request and an order over "b2"
    And no capacity is reserved

  # Guards against a stream that waits for events after an accepted order.
  Scenario: A repaired stream without events is resumed elsewhere
    Given two replicas, a spare for the second stage, and streams of 20 events
    And new parts of a route read for 9 seconds
    When the second stage dies after 0.1 seconds of a stream
    Then the stream is complete with events 0 to 19
    And the stream was resumed at the first stage of the other replica
    And no capacity is reserved

  # Guards against requests refused after one attempt while their first runner lives.
  Scenario Outline: A request turned away for a dead later stage is sent again there
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the route allows <attempts> attempts
    And <other>
    When a stream is requested after the second stage has died
    Then the stream is complete with events 0 to 19
    And the request reached <runners> first runners in <arrivals> arrivals
    And no capacity is reserved

    Examples:
      | attempts | other                        | runners | arrivals |
      | 1        | the other replica is there   | 1       | 2        |
      | 2        | the other replica is there   | 1       | 2        |
      | 2        | the other replica has no room | 1      | 2        |
      | 2        | the spare has no room        | 2       | 2        |

  # Guards against repeats beyond the retry budget.
  Scenario: A request turned away is not sent again without retry budget
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the route allows 1 attempts
    And there is no retry budget
    When a stream is requested after the second stage has died
    Then the status is 503 after 1 arrival

  Scenario: A fault reported by others starts the repair without waiting for silence
    Given two replicas, a spare for the second stage, and streams of 20 events
    When the second stage dies after 0.1 seconds of a stream, which is reported at once
    Then the stream is complete with events 0 to 19
    And the stream ended within 0.7 seconds
    And the first runner got one request and an order over "c2"

  # Guards against wrong news that moves streams which are not stalled.
  Scenario: A reported fault that the first runner does not confirm changes nothing
    Given two replicas, a spare for the second stage, and streams of 20 events
    When a fault of the second stage is reported during a stream that is not stalled
    Then the stream is complete with events 0 to 19
    And the first runner got no order

  # Guards against a watchdog that looks for a reported fault without end.
  Scenario: A stream that stalls for another reason than the reported fault is resumed
    Given two replicas, a spare for the second stage, and streams of 20 events
    And the first runner stalls after 3 events for a reason that it does not report
    When a fault of the second stage is reported during a stream that is not stalled
    Then the stream is complete with events 0 to 19
    And 2 requests arrived at first runners, and no order was carried out

  # Guards against an order that may be carried out being taken for a refused one.
  Scenario Outline: The answer to an order tells whether it may be carried out
    When a runner answers an order to change a route with <status> and "<body>"
    Then the outcome is <outcome>

    Examples:
      | status | body                       | outcome              |
      | 202    |                            | none                 |
      | 404    |                            | OrderTargetMissing   |
      | 409    | {"address": "10.1.0.5:80"} | RoutePartUnavailable |
      | 409    | {"address": 5}             | OrderConflict        |
      | 409    |                            | OrderConflict        |
      | 421    |                            | OrderRejected        |
      | 503    |                            | OrderRejected        |
      | 500    |                            | OrderUnanswered      |
      | 0      |                            | OrderUnanswered      |

  Scenario: A repaired route is an exact cover with room for each new part
    Then any route found for lost stages covers each layer once and keeps the first stage
    And any lost stage is replaced if one spare runner with room holds its layers

  # Guards against capacity that is released twice or never.
  Scenario: Repairs and releases leave the capacity in use reserved, and nothing at the end
    Then after any sequence of repairs and releases the ledger has what the routes use
