Feature: The router on the users' platform answers each request whole and truly

  Background:
    Given a platform with two members of the desk
    And runners of two copies of the model

  Scenario: A stream comes whole over a route of stages
    When a caller asks for a draft
    Then the status is 200
    And the events are 0 to 5
    And the first stage was told a route that covers all layers once
    And the upstreams saw the team and no key

  Scenario Outline: A stream that breaks goes on at another route within the answer
    Given the first stage of the first copy has the fault "<fault>"
    When a caller asks for a draft
    Then the status is 200
    And the events are 0 to 5
    And the answer is whole
    And 2 runners began the request

    Examples:
      | fault |
      | reset |
      | split |

  Scenario: A stream that waits for a dead stage goes on at another route
    Given the first stage of the first copy has the fault "stall"
    And its report names the second stage as stalled
    When a caller asks for a draft
    Then the events are 0 to 5
    And the answer is whole
    And the second stage of the first copy is avoided

  Scenario: A stream whose first stage falls silent goes on at another route
    Given the first stage of the first copy falls silent after 3 events
    When a caller asks for a draft
    Then the events are 0 to 5
    And the answer is whole

  Scenario: A stream that can't go on does not look whole
    Given every first stage has the fault "reset"
    When a caller asks for a draft
    Then the answer is cut

  Scenario: A refused request goes to another runner and is not counted as run
    Given the first stage of the first copy has the fault "refuse"
    When a caller asks for a draft
    Then the status is 200
    And the events are 0 to 5

  Scenario Outline: An order is never sent again once it may have run
    Given every member has the fault "<fault>"
    When a caller places an order
    Then the status is <status>
    And 1 members began the request
    And the answer bears no promise

    Examples:
      | fault    | status |
      | reset    | 502    |
      | foreign  | 502    |
      | unsigned | 502    |
      | silent   | 504    |

  Scenario: An order that no member took is refused as not run
    Given every member has the fault "refuse"
    When a caller places an order
    Then the status is 503
    And 0 members began the request
    And the answer says when to come back

  Scenario: A member's own failure of an order is passed on
    Given every member has the fault "error"
    When a caller places an order
    Then the status is 500
    And 1 members began the request

  Scenario Outline: A call that may be repeated is answered by the other member
    Given one member has the fault "<fault>"
    When 6 callers ask for a status one after another
    Then every status is 200

    Examples:
      | fault   |
      | reset   |
      | error   |
      | foreign |
      | refuse  |
      | silent  |

  Scenario: A crashed member costs no call
    Given one member has crashed
    When 6 callers ask for a status one after another
    Then every status is 200
    When 6 callers place an order one after another
    Then every status is 200

  Scenario Outline: What the configuration does not allow runs nowhere
    When a caller calls "<path>" with the key "<key>"
    Then the status is <status>
    And nothing began to run

    Examples:
      | path      | key         | status |
      | /nowhere/ | counter-key | 404    |
      | /order/1  | wrong-key   | 401    |
      | /order/1  |             | 401    |

  Scenario: A key that was taken away is refused
    When the key is taken away and a second passes
    And a caller places an order
    Then the status is 401
    And nothing began to run

  Scenario: Without news of the configuration no key is trusted, and it says so at once
    When the store is down for 5 seconds
    And a caller places an order
    Then the status is 503
    And nothing began to run
    And the answer says when to come back
    And the router is not ready
    When the store is back for 1 seconds
    And a caller places an order
    Then the status is 200
    And the router is ready

  Scenario: A configuration with an older version is not taken back
    When a newer configuration is followed by an older one
    Then the newer one is in force

  Scenario: A configuration that can't be read leaves the one in force
    When a configuration that can't be read is written
    And a caller places an order
    Then the status is 200

  Scenario: Lost history is read anew
    When the history is lost while the key is taken away
    And a caller places an order
    Then the status is 401

  Scenario: A caller who leaves ends the work at the runner
    When a caller asks for a draft and leaves after 0.05 seconds
    Then the runner's work has been abandoned

  Scenario: A draining upstream gets nothing new
    Given one member drains
    When 6 callers ask for a status one after another
    Then every status is 200
    And the draining member began nothing

  Scenario: A stopping instance refuses what comes too late
    Given the router is closed to new requests
    When a caller places an order
    Then the status is 503
    And nothing began to run

  Scenario: A request that finds no room is refused with a time to come back
    Given every runner is full
    When a caller asks for a draft
    Then the status is 503
    And the answer says when to come back
    And the answer came within 2.0 seconds of virtual time

  Scenario: Requests that can't have room before their callers leave are refused at once
    Given every runner is full
    When 8 callers ask for drafts at once
    Then every status is 503
    And all but the first 3 answers came at once

  Scenario: Room that comes free goes to a request that is still on time
    Given every runner is full
    And the runners have room again after 0.7 seconds
    When a caller asks for a draft and another one 0.6 seconds later
    Then every status is 200
    And the second caller's answer began first

  Scenario: Requests without a route or with another one's bytes stay apart
    When 6 callers ask for drafts at once
    Then each gets its own events 0 to 5

  Scenario: A planned stop cuts no stream and takes no connection after its notice
    Given the router listens on a socket and is told to stop while a stream runs
    Then the stream came whole
    And its connection was closed after the answer
    And a later connection was not taken
    And the router ended by itself

  Scenario: A member that breaks one answer is neither avoided nor thought unreachable
    Given one member has the fault "reset"
    When 6 callers ask for a status one after another
    Then no member is avoided and no question was put to one

  Scenario: Idle connections are closed when they are too old to be used again
    When a caller asks for a draft
    And 6 seconds pass
    Then no idle connection is left

  Scenario Outline: An error of the router's own costs one request, not the process
    Given the router fails at its next <call>
    When a caller asks for a draft
    Then the answer bears no promise
    When a caller asks for a draft
    Then the status is 200
    And the events are 0 to 5

    Examples:
      | call   |
      | choice |
      | answer |
