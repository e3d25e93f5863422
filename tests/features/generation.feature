Feature: Model requests survive their upstreams

  Scenario Outline: A stream goes on over another route after <fault>
    Given a grid of 3 runners a range
    When <fault> hits a running stream
    Then the caller has the whole sound answer after 2 attempts

    Examples:
      | fault                  |
      | the death of a middle  |
      | the death of the head  |
      | a frozen middle        |
      | a frozen head          |
      | silence of the head    |

  Scenario Outline: Stray events never reach the caller: <fault>
    Given a grid of 3 runners a range
    When <fault> hits a running stream
    Then the caller has the whole sound answer after 1 attempts

    Examples:
      | fault                 |
      | crossed answers       |
      | a skipped stage       |

  Scenario: Runners that refuse are tried in turn without a run
    Given a grid of 3 runners a range
    And all heads but one are leaving
    When a request for 20 tokens is called
    Then the caller has the whole sound answer
    And the ledgers of the leaving runners hold no run

  Scenario: A request that all runners refuse is answered as not run
    Given a grid of 2 runners a range
    And all heads are leaving
    When a request for 20 tokens is called
    Then the caller has error "upstream_refused" with outcome "not-run"
    And no ledger holds a run

  Scenario: A request that finds no open port is answered as not run
    Given a grid of 2 runners a range
    And all heads are dead
    When a request for 20 tokens is called
    Then the caller has error "no_route" with outcome "not-run"
    And no ledger holds a run

  Scenario: A cut stream is never shown as whole
    Given a grid of 2 runners a range
    When all runners of a range die in a running stream
    Then the caller has error "stream_cut" with outcome "unknown"
    And the caller's tokens are a sound beginning

  Scenario: A begun answer never changes its model version
    Given a grid of 1 runners a range
    When version "v2" replaces the runners of a running stream
    Then the caller has error "stream_cut" with outcome "unknown"
    And the caller's tokens are a sound beginning

  Scenario: An answer that has given nothing yet starts again on the new version
    Given a grid of 1 runners a range
    When version "v2" replaces the runners before the first token
    Then the caller has the whole sound answer of version "v2"

  Scenario: An abandoned attempt is cancelled at its first stage
    Given a grid of 2 runners a range
    When a frozen middle hits a running stream
    Then no slot of a living runner is held

  Scenario: The retry budget bounds recovery
    Given a retry budget of 3
    When 5 retries are asked for
    Then 3 retries were granted
    And 8 successes grant 2 more
