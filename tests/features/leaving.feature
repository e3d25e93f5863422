Feature: What upstreams say in their answers of leaving counts at once

  Background:
    Given a platform with two members of a plain service
    And runners of two replicas of the model

  Scenario Outline: A member that says that it is leaving gets nothing new
    When "d1" says in its answers that it is leaving
    And <event>
    Then 10 requests for "status" reach "d1" at most once
    And 10 requests for "order" reach "d1" at most 0 times

    Examples:
      | event                                    |
      | the store says again that it is ready    |
      | the store is down                        |

  Scenario Outline: A runner that says that it is leaving gets nothing new in any role
    When "<runner>" says in its answers that it is leaving
    And it is asked for its report
    Then 10 requests for "draft" name "<runner>" in no role

    Examples:
      | runner |
      | a1     |
      | a2     |

  Scenario: A stream under way on a runner that says that it is leaving goes on
    When "a1" says in its answers that it is leaving
    Then a stream that begins on "a1" is whole, and the next one begins elsewhere

  Scenario: The next incarnation of an upstream that was leaving is used
    When "d1" says in its answers that it is leaving
    Then 10 requests for "status" reach "d1" at most once
    When "d1" restarts and says nothing more
    Then 20 requests for "status" reach "d1" at least 5 times

  Scenario Outline: A mark that can't be read is no leaving
    When the mark in the answers of "d1" is "<mark>"
    Then 20 requests for "status" reach "d1" at least 5 times

    Examples:
      | mark                 |
      | 0                    |
      | yes                  |
      | 1,1                  |
      | 11111111111111111111 |

  Scenario: An incarnation that has said that it is leaving stays so under any news
    Then the directory agrees with a simple model under random news and answers
