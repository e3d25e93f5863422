Feature: Late requests are also sent to a second upstream, and the first response wins

  # Guards against more extra work than the operator accepts, in any load.
  Scenario: Hedged requests stay within their ratio in each window
    Then no sequence of requests and decisions exceeds the ratio in a window
    And the hedged requests of several routers stay within the ratio together

  # Guards against a delay that does not follow what is usual now.
  Scenario: The delay follows the latencies of the class as they age
    Then the delay is above most latencies and at most a bucket above the longest one
    And the delay is not known before there are enough latencies
    And the delay of a class forgets latencies of before
    And the histograms kept are bounded

  Scenario Outline: A wrong file of options is refused with its key: <reason>
    When a router is started with the options <options>
    Then it exits with a failure that names "<location>" and "<reason>"

    Examples:
      | options                    | location         | reason        |
      | {"hedging": {"ratio": 0.2}} | $.hedging.ratio | <= 0.1        |
      | {"hedging": {"ratio": -1}} | $.hedging.ratio  | >= 0.0        |
      | {"hedging": {"rate": 0.1}} | $.hedging        | unknown field `rate` |
      | {"hedge": {"ratio": 0.1}}  | $                | unknown field `hedge` |
      | {"hedging": {"ratio":      | $                | truncated     |

  Scenario: The example of options is valid and no option is on without a file
    Then the example of options has the ratio 0.02
    And hedging is off without a file of options

  # Fails without the part: slow members then answer a twentieth of the requests.
  Scenario Outline: Hedged requests cut the tail of slow members under load
    Given 20 members of which 1 takes 1.0 instead of 0.05 seconds
    When 600 safe requests come at 60 per second with a hedging ratio of <ratio>
    Then the 99th percentile of the latencies is <bound>
    And at most <extra> requests were sent a second time

    Examples:
      | ratio | bound               | extra |
      | 0.1   | at most 0.3 seconds | 60    |
      | 0     | at least 1 second   | 0     |

  Scenario Outline: The first response of two upstreams of a <kind> request wins
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.6 seconds
    When a <kind> request is sent
    Then the response is whole and came within 0.2 seconds
    And both upstreams started the request and the first one was aborted
    And 1 hedged requests were sent and 1 won
    And no upstream is avoided and no death is on record

    Examples:
      | kind   |
      | safe   |
      | stream |

  # Guards against a death being put on record later for the loser of a long race.
  Scenario: A loser that was silent for longer than the silence limit leaves no record
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 3.0 seconds
    And the second upstream answers after 1.2 seconds
    When a stream request is sent
    Then the response is whole and came within 1.5 seconds
    And both upstreams started the request and the first one was aborted
    And no upstream is avoided and no death is on record

  Scenario Outline: A first response while the second attempt of a <kind> request connects
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.2 seconds
    And the second upstream can't be reached
    When a <kind> request is sent
    Then the response is whole and came within 0.4 seconds
    And 1 hedged requests were sent and 0 won
    And no upstream is avoided and no death is on record

    Examples:
      | kind   |
      | safe   |
      | stream |

  Scenario Outline: Both upstreams answer a <kind> request in the same turn
    Given a router that hedges and upstreams in two failure domains
    And both upstreams answer at the same time after 0.3 seconds
    When a <kind> request is sent
    Then the response is whole and came within 0.5 seconds
    And no upstream is avoided and no death is on record

    Examples:
      | kind   |
      | safe   |
      | stream |

  # Guards against a loser's failure in the turn of the winner's response.
  Scenario Outline: One upstream answers and one has the fault <fault> in the same turn
    Given a router that hedges and upstreams in two failure domains
    And both upstreams answer at the same time after 0.3 seconds
    And the <which> upstream has the fault "<fault>"
    When a safe request is sent
    Then the response is whole and came within 0.5 seconds

    Examples:
      | which  | fault  |
      | first  | error  |
      | first  | reset  |
      | second | error  |
      | second | reset  |
      | second | refuse |

  Scenario Outline: One attempt at a <kind> request fails while the other goes on: <fault>
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after <first> seconds
    And the second upstream answers after <second> seconds
    And the <which> upstream has the fault "<fault>"
    When a <kind> request is sent
    Then the response is whole and came within 0.8 seconds
    And 1 hedged requests were sent and <won> won

    Examples:
      | kind   | first | second | which  | fault    | won |
      | safe   | 0.1   | 0.4    | first  | reset    | 1   |
      | safe   | 0.1   | 0.4    | first  | refuse   | 1   |
      | safe   | 0.1   | 0.4    | first  | error    | 1   |
      | safe   | 0.1   | 0.4    | first  | missing  | 1   |
      | safe   | 0.6   | 0.1    | second | missing  | 0   |
      | safe   | 0.6   | 0.1    | second | reset    | 0   |
      | safe   | 0.6   | 0.1    | second | refuse   | 0   |
      | safe   | 0.6   | 0.1    | second | error    | 0   |
      | safe   | 0.6   | 0.1    | second | foreign  | 0   |
      | safe   | 0.6   | 0.1    | second | unsigned | 0   |
      | stream | 0.1   | 0.4    | first  | refuse   | 1   |
      | stream | 0.6   | 0.1    | second | refuse   | 0   |
      | stream | 0.6   | 0.1    | second | error    | 0   |

  # Guards against writes that don't wait, as those to a socket, of an attempt that
  # goes on until its next checkpoint.
  Scenario: An attempt that has not won writes nothing to the caller
    Given two concurrent attempts of which the second one has won
    When the first one responds, starts, sends and finishes
    Then nothing of it was written and the winner's events were

  Scenario: An error answer is given before the deadline if the other attempt is silent
    Given a router that hedges and upstreams in two failure domains
    And the first upstream has the fault "silent"
    And the second upstream has the fault "missing"
    When a safe request is sent
    Then the status is 404 after 1.5 seconds

  Scenario: A second attempt that can't connect leaves the first one alone
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.8 seconds
    And the second upstream can't be reached
    When a safe request is sent
    Then the response is whole and came within 0.9 seconds

  Scenario Outline: A request fails only when both attempts have: <first>, <second>
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.2 seconds
    And the second upstream answers after 0.3 seconds
    And the first upstream has the fault "<first>"
    And the second upstream has the fault "<second>"
    When a safe request is sent
    Then the status is <status> after 0.3 seconds

    Examples:
      | first  | second | status |
      | reset  | refuse | 502    |
      | refuse | reset  | 502    |
      | refuse | error  | 500    |
      | error  | refuse | 500    |
      | refuse | refuse | 503    |
      | missing | missing | 404    |
      | missing | refuse | 404    |
      | reset  | missing | 404    |

  Scenario: A winner that breaks off is resumed, and no event comes twice
    Given a router that hedges with three attempts and upstreams in two failure domains
    And the first upstream answers after 0.6 seconds
    And the second upstream has the fault "reset"
    When a stream request is sent
    Then the events are 0 to 5 and the response is complete

  # Comments may come from a runner that has stalled.
  Scenario: Comments of one upstream do not win against the events of the other
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.4 seconds
    And the second upstream has the fault "dribble" before its first event
    When a stream request is sent
    Then the response is whole and came within 0.7 seconds
    And the response contains no comment

  Scenario Outline: The caller of a <kind> request leaves while both attempts run
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 2.0 seconds
    And the second upstream answers after 2.0 seconds
    When a <kind> request is sent and its caller leaves after 0.3 seconds
    Then both upstreams were aborted within 0.5 seconds
    And no upstream is avoided and no death is on record

    Examples:
      | kind   |
      | safe   |
      | stream |

  Scenario: The router ends while both attempts run
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 2.0 seconds
    And the second upstream answers after 2.0 seconds
    And the router stops 0.2 seconds after the request and ends 0.3 seconds later
    When a safe request is sent
    Then the status is 502 after 0.5 seconds
    And both upstreams were aborted within 0.5 seconds

  Scenario Outline: No hedged request is sent: <reason>
    Given a router that hedges and upstreams in two failure domains
    And the first upstream answers after 0.3 seconds
    And no hedged request may be sent as <reason>
    When a <kind> request is sent
    Then only the first upstream started the request

    Examples:
      | kind   | reason                              |
      | safe   | the router stops before the delay   |
      | safe   | an upstream died under the request  |
      | safe   | another request waits for capacity  |
      | safe   | the second upstream has a limit     |
      | safe   | the second upstream asked for a pause |
      | safe   | the second upstream has no free slot |
      | safe   | the second upstream is avoided      |
      | safe   | the retry budget is used up         |
      | safe   | the ratio is used up                |
      | safe   | the route allows one attempt        |
      | unsafe | the request is unsafe               |
      | stream | the second route has no room        |

  Scenario: A stream is not hedged after its first event
    Given a router that hedges and upstreams in two failure domains
    And the first upstream sends one event and no more
    When a stream request is sent and its caller leaves after 0.5 seconds
    Then only the first upstream started the request

  Scenario Outline: The second attempt goes to another failure domain if possible
    Given a router that hedges and members in <domains>
    And the first upstream answers after 0.6 seconds
    When a safe request is sent
    Then the second attempt went to <member>

    Examples:
      | domains          | member |
      | east, east, west | d3     |
      | east, east       | d2     |
