Feature: The store is restored from a copy and loses what it had acknowledged

  Background:
    Given a platform with two members of a plain service
    And runners of six replicas of the model

  Scenario: A restoration is logged with the eras and revisions before and after it
    When a copy of the store is made
    And configuration version 2 adds the route "added"
    And the store is restored from the copy
    Then the log tells that a store at a lower revision has taken the place of another
