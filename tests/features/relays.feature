Feature: Few routers read the store, the others follow them

  Scenario: In calm times the followers leave the store alone
    Given 8 routers of one failure domain
    When the routers run for 20 seconds
    Then 2 of them read the store
    And the others read nothing from the store in the last 10 seconds

  Scenario: A small group reads the store itself
    Given 4 routers of one failure domain
    Then 0 of them read the store

  Scenario: A change reaches all of them
    Given 8 routers of one failure domain
    When a configuration is written and 1 seconds pass
    Then all know it

  Scenario Outline: A change reaches the others in time though the relays fail
    Given 8 routers of one failure domain
    When the ways to the relays are "<mode>"
    And a configuration is written and 3 seconds pass
    Then all know it

    Examples:
      | mode    |
      | silent  |
      | refused |
      | late    |

  Scenario Outline: A change reaches the others in time though the relays lose the store
    Given 8 routers of one failure domain
    When the relays' ways to the store are "<mode>"
    And a configuration is written and 3 seconds pass
    Then all but the relays know it

    Examples:
      | mode    |
      | silent  |
      | refused |

  Scenario: A relay that lost the store's history passes on what changed
    Given 8 routers of one failure domain
    When the history is forgotten, a configuration is written and 3 seconds pass
    Then all know it
    And the others made no call to the store since

  Scenario Outline: Both bounds hold under random faults
    Given 8 routers of one failure domain
    Then both bounds hold for 60 seconds of faults with seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: The log of changes tells what is newer, or that it no longer knows
    Then random changes come back from the log as an oracle has them
