Feature: Layers are placed on runners and the placement is repaired

  Scenario: Each failure domain with enough memory holds whole copies
    Given empty runners
      | domain | kind  | count |
      | east   | large | 2     |
      | east   | small | 2     |
      | west   | large | 3     |
    When the placement is planned
    Then each of "east west" holds every layer
    And no runner holds more than its memory
    And the cache of every runner fits 3 usual requests

  Scenario: Runners of one copy have the same cache regardless of their memory
    Given empty runners
      | domain | kind  | count |
      | east   | large | 1     |
      | east   | small | 1     |
    When the placement is planned
    Then the cache sizes differ by less than a fifth

  Scenario: A complete placement is not changed
    Given empty runners
      | domain | kind  | count |
      | east   | large | 3     |
    When the placement is planned and applied
    Then no further change is planned

  Scenario: A free runner takes the layers of one that is gone
    Given empty runners
      | domain | kind  | count |
      | east   | large | 2     |
      | east   | small | 1     |
    And the placement is planned and applied
    And the runner with layer 0 is gone
    And an empty "large" runner joins "east"
    When the placement is planned
    Then each of "east" holds every layer
    And no other runner changes its layers

  Scenario: Without a free runner a neighbour takes over the lost layers
    Given runners that hold layers
      | name | domain | kind  | first | end |
      | a    | east   | large | 0     | 30  |
      | b    | east   | large | 30    | 60  |
      | c    | east   | large | 60    | 80  |
    And "b" is gone
    When the placement is planned
    Then each of "east" holds every layer
    And no runner holds more than its memory

  Scenario: One copy spans failure domains if none has enough memory
    Given empty runners
      | domain | kind  | count |
      | east   | small | 1     |
      | west   | small | 1     |
      | north  | small | 1     |
    When the placement is planned
    Then all together hold every layer

  Scenario: Runners of an unknown kind are left empty
    Given empty runners
      | domain | kind  | count |
      | east   | other | 2     |
      | east   | large | 2     |
    When the placement is planned
    Then each of "east" holds every layer
    And no "other" runner changes its layers

  Scenario: Random fleets that lose and gain runners never break the rules
    Then 300 random fleets keep to the rules over 6 changes
