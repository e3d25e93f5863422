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

  Scenario Outline: The grant order
    Then the grant order <property>

    Examples:
      | property                                                                 |
      | is that of the objectives, on time first, with one priority and one team |
      | starves no priority and no team                                          |
      | gives less urgent priorities no more than their share                    |
      | serves busy teams equally, to within two requests                        |
      | tries small requests behind many large ones in the same pass             |
      | holds small requests back for a large one that they have passed          |
      | puts streams that resume before new requests of their priority           |

  Scenario Outline: Two priorities compete for too little capacity
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And the routes "draft" and "batch" of the model with priorities <draft> and <batch>
    When 3 streams of "draft" and 9 of "batch" arrive in each 0.1 seconds for 4 seconds
    Then <most> % or more of the "draft" streams begin on time, and <others> % or fewer of "batch"
    And each stream of "draft" is answered, and some of "batch"

    Examples:
      | draft | batch | most | others |
      | 0     | 3     | 95   | 50     |

  Scenario: Without different priorities urgent streams are as late as the others
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And the routes "draft" and "batch" of the model with priorities 1 and 1
    When 3 streams of "draft" and 9 of "batch" arrive in each 0.1 seconds for 4 seconds
    Then fewer than 60 % of the "draft" streams begin on time

  Scenario: A team that floods delays itself
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And a second team
    When 2 streams of the first team and 30 of the second arrive in each 0.1 seconds
    Then 95 % or more of the streams of the first team begin on time
    And fewer than 50 % of the streams of the second team begin on time
