Feature: Late requests are also sent to a second upstream, and the first response wins

  # Guard against more extra work than the operator accepts, and against a delay that
  # does not follow what is usual now.
  Scenario: Hedged requests stay within their ratio, and their delay follows latencies
    Then no sequence of requests and decisions exceeds the ratio in a window
    And the hedged requests of several routers stay within the ratio together
    And the delay is above most latencies and at most a bucket above the longest one
    And the delay is known after enough latencies and forgets those of before

  Scenario Outline: A wrong file of options is refused with its key: <reason>
    When a router is started with the options <options>
    Then it exits with a failure that names "<location>" and "<reason>"

    Examples:
      | options                     | location        | reason                |
      | {"hedging": {"ratio": 0.2}} | $.hedging.ratio | <= 0.1                |
      | {"hedging": {"ratio": -1}}  | $.hedging.ratio | >= 0.0                |
      | {"hedging": {"rate": 0.1}}  | $.hedging       | unknown field `rate`  |
      | {"hedge": {"ratio": 0.1}}   | $               | unknown field `hedge` |
      | {"hedging": {"ratio":       | $               | truncated             |

  Scenario: The example of options is valid and no option is on without a file
    Then the example of options has the ratio 0.02, and without a file it is 0

  # Fails without the part: slow members then answer a twentieth of the requests.
  Scenario Outline: Hedged requests cut the tail of slow members under load
    Given 20 members of which 1 takes 1.0 instead of 0.05 seconds
    When 600 safe requests come at 60 per second with a hedging ratio of <ratio>
    Then the 99th percentile of the latencies is from <least> to <most> seconds
    And at most <extra> requests were sent a second time

    Examples:
      | ratio | least | most | extra |
      | 0.1   | 0.0   | 0.3  | 60    |
      | 0     | 1.0   | 2.0  | 0     |

  # Upstreams answer after a time, both at one time ("gate"), or with a fault. Guards
  # against mixed responses, a wrong promise not to have run, and records of the loser.
  Scenario Outline: A <kind> request, first upstream: <first>, second upstream: <second>
    Given a router that hedges, a first upstream "<first>" and a second one "<second>"
    When a <kind> request is sent
    Then the status is <status> within <seconds> seconds and <won> hedged requests won
    And of deaths and avoided upstreams <recorded> are on record

    Examples: the first response wins, also while the second attempt connects
      | kind   | first | second      | status | seconds | won | recorded |
      | safe   | 0.6   | 0           | 200    | 0.2     | 1   | none     |
      | stream | 0.6   | 0           | 200    | 0.2     | 1   | none     |
      | stream | 3.0   | 1.2         | 200    | 1.5     | 1   | none     |
      | safe   | 0.2   | unreachable | 200    | 0.3     | 0   | none     |
      | stream | 0.2   | unreachable | 200    | 0.4     | 0   | none     |
      | safe   | 0.8   | unreachable | 200    | 0.9     | 0   | some     |

    Examples: both answer in the same turn
      | kind   | first      | second      | status | seconds | won | recorded |
      | safe   | gate       | gate        | 200    | 0.5     | any | none     |
      | stream | gate       | gate        | 200    | 0.5     | any | none     |
      | safe   | gate error | gate        | 200    | 0.5     | 1   | any      |
      | safe   | gate reset | gate        | 200    | 0.5     | 1   | any      |
      | safe   | gate       | gate error  | 200    | 0.5     | 0   | any      |
      | safe   | gate       | gate reset  | 200    | 0.5     | 0   | any      |
      | safe   | gate       | gate refuse | 200    | 0.5     | 0   | any      |

    Examples: one fails and the other goes on
      | kind   | first       | second       | status | seconds | won | recorded |
      | safe   | 0.1 reset   | 0.4          | 200    | 0.5     | 1   | any      |
      | safe   | 0.1 refuse  | 0.4          | 200    | 0.5     | 1   | any      |
      | safe   | 0.1 error   | 0.4          | 200    | 0.5     | 1   | any      |
      | safe   | 0.1 missing | 0.4          | 200    | 0.5     | 1   | any      |
      | safe   | 0.6         | 0.1 missing  | 200    | 0.7     | 0   | any      |
      | safe   | 0.6         | 0.1 reset    | 200    | 0.7     | 0   | any      |
      | safe   | 0.6         | 0.1 refuse   | 200    | 0.7     | 0   | any      |
      | safe   | 0.6         | 0.1 error    | 200    | 0.7     | 0   | any      |
      | safe   | 0.6         | 0.1 foreign  | 200    | 0.7     | 0   | any      |
      | safe   | 0.6         | 0.1 unsigned | 200    | 0.7     | 0   | any      |
      | stream | 0.1 refuse  | 0.4          | 200    | 0.8     | 1   | any      |
      | stream | 0.6         | 0.1 refuse   | 200    | 0.8     | 0   | any      |
      | stream | 0.6         | 0.1 error    | 200    | 0.8     | 0   | any      |
      | stream | 0.4         | comments     | 200    | 0.7     | 0   | any      |

    Examples: it fails only when both have, and may have run if it may in either
      | kind | first       | second      | status | seconds | won | recorded |
      | safe | 0.2 reset   | 0.3 refuse  | 502    | 0.4     | 0   | any      |
      | safe | 0.2 refuse  | 0.3 reset   | 502    | 0.4     | 0   | any      |
      | safe | 0.2 refuse  | 0.3 error   | 500    | 0.4     | 0   | any      |
      | safe | 0.2 error   | 0.3 refuse  | 500    | 0.4     | 0   | any      |
      | safe | 0.2 refuse  | 0.3 refuse  | 503    | 0.4     | 0   | any      |
      | safe | 0.2 missing | 0.3 missing | 404    | 0.4     | any | any      |
      | safe | 0.2 missing | 0.3 refuse  | 404    | 0.4     | 0   | any      |
      | safe | 0.2 reset   | 0.3 missing | 404    | 0.4     | 1   | any      |
      | safe | silent      | missing     | 404    | 1.6     | 1   | any      |

  # Guards against writes that don't wait, as those to a socket, of an attempt that
  # goes on until its next checkpoint.
  Scenario: An attempt that has not won writes nothing to the caller
    Given two concurrent attempts of which the second one has won
    When the first one responds, starts, sends and finishes
    Then nothing of it was written and the winner's events were

  Scenario: A winner that breaks off is resumed, and no event comes twice
    Given a router that hedges, a first upstream "0.6" and a second one "reset"
    And the routes allow 3 attempts
    When a stream request is sent
    Then the status is 200 within 2.0 seconds and 1 hedged requests won

  Scenario Outline: The caller of a <kind> request leaves while both attempts run
    Given a router that hedges, a first upstream "2.0" and a second one "2.0"
    When a <kind> request is sent and its caller leaves after 0.3 seconds
    Then both upstreams were aborted within 0.5 seconds
    And of deaths and avoided upstreams none are on record

    Examples:
      | kind   |
      | safe   |
      | stream |

  Scenario: The router ends while both attempts run
    Given a router that hedges, a first upstream "2.0" and a second one "2.0"
    And the router stops 0.2 seconds after the request and ends 0.3 seconds later
    When a safe request is sent
    Then the status is 502 within 0.6 seconds and 0 hedged requests won
    And both upstreams were aborted within 0.5 seconds

  Scenario Outline: No hedged request is sent: <reason>
    Given a router that hedges, a first upstream "<first>" and a second one "0"
    And no hedged request may be sent as <reason>
    When a <kind> request is sent and its caller leaves after 0.5 seconds
    Then only the first upstream started the request

    Examples:
      | kind   | first | reason                                |
      | safe   | 0.3   | the router stops before the delay     |
      | safe   | 0.3   | an upstream died under the request    |
      | safe   | 0.3   | another request waits for capacity    |
      | safe   | 0.3   | the second upstream has a limit       |
      | safe   | 0.3   | the second upstream asked for a pause |
      | safe   | 0.3   | the second upstream has no free slot  |
      | safe   | 0.3   | the second upstream is avoided        |
      | safe   | 0.3   | the retry budget is used up           |
      | safe   | 0.3   | the ratio is used up                  |
      | safe   | 0.3   | the route allows one attempt          |
      | unsafe | 0.3   | the request is unsafe                 |
      | stream | 0.3   | the second route has no room          |
      | stream | stall | the first event has come              |

  Scenario Outline: The second attempt goes to another failure domain if possible
    Given a router that hedges and members in <domains>
    When a safe request is sent
    Then the second attempt went to <member>

    Examples:
      | domains          | member |
      | east, east, west | d3     |
      | east, east       | d2     |
