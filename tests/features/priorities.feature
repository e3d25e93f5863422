Feature: More urgent requests get capacity first, and no team takes all of it

  Scenario: Urgencies keep the order of priorities on both sides of the default
    Then any set of priorities maps to urgencies from 0 to 9 in the same order
    And the most urgent priority is never above the default, the least never below

  Scenario Outline: Runners are told the urgency where priorities differ
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And the routes "draft" and "batch" of the model with priorities <draft> and <batch>
    And the team has the priority "<team>"
    When a caller requests a stream of "<route>" with the urgency header 0
    Then the status is 200
    And the first runner got the urgency "<urgency>"

    Examples:
      | draft | batch | team | route | urgency |
      | 0     | 3     |      | draft | 4       |
      | 0     | 3     |      | batch | 6       |
      | 2     | 2     |      | draft |         |
      | 0     | 3     | 1    | batch |         |

  Scenario: A stream that resumes is one step more urgent
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And the first stage of the first replica has the fault "reset"
    When a caller requests a stream
    Then the events are 0 to 5
    And the two first runners got the urgencies "" and "4"
