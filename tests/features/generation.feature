Feature: Model requests recover from upstream failures

  Scenario Outline: A stream resumes on another route after <fault>
    Given a grid of 3 runners per layer range
    When <fault> hits a running stream
    Then the caller has the complete correct answer after 2 attempts

    Examples:
      | fault                  |
      | the death of a middle  |
      | the death of the head  |
      | a frozen middle        |
      | a frozen head          |
      | silence of the head    |

  Scenario Outline: Misdirected or invalid events never reach the caller: <fault>
    Given a grid of 3 runners per layer range
    When <fault> hits a running stream
    Then the caller has the complete correct answer after 1 attempts

    Examples:
      | fault                 |
      | crossed answers       |
      | a skipped stage       |

  Scenario: Runners that refuse are tried in turn and execute nothing
    Given a grid of 3 runners per layer range
    And all heads but one are leaving
    When a request for 20 tokens is called
    Then the caller has the complete correct answer
    And the ledgers of the leaving runners are empty

  Scenario: A request that all runners refuse is answered as not run
    Given a grid of 2 runners per layer range
    And all heads are leaving
    When a request for 20 tokens is called
    Then the caller has error "upstream_refused" with outcome "not-run"
    And the ledgers of all runners are empty

  Scenario: A request that reaches no open port is answered as not run
    Given a grid of 2 runners per layer range
    And all heads are dead
    When a request for 20 tokens is called
    Then the caller has error "no_route" with outcome "not-run"
    And the ledgers of all runners are empty

  Scenario: A truncated stream is never reported as complete
    Given a grid of 2 runners per layer range
    When all runners of a range die in a running stream
    Then the caller has error "stream_cut" with outcome "unknown"
    And the caller's tokens are a correct prefix

  Scenario: A started answer never changes its model version
    Given a grid of 1 runners per layer range
    When version "v2" replaces the runners of a running stream
    Then the caller has error "stream_cut" with outcome "unknown"
    And the caller's tokens are a correct prefix

  Scenario: A request without tokens restarts on the new version
    Given a grid of 1 runners per layer range
    When version "v2" replaces the runners before the first token
    Then the caller has the complete correct answer of version "v2"

  Scenario: An abandoned attempt is cancelled at its first stage
    Given a grid of 2 runners per layer range
    When a frozen middle hits a running stream
    Then no slot of a responsive runner is occupied

  Scenario: The retry budget bounds recovery
    Given a retry budget of 3
    When 5 retries are requested
    Then 3 retries were granted
    And 8 successes grant 2 more
