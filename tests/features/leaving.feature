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

  Scenario Outline: An upstream that names a time in its refusal gets nothing for so long
    When "<name>" refuses requests and wants none for 2.5 seconds
    And 10 requests for "<route>" come in each second, for 2 seconds
    Then "<name>" has refused 1 request
    When 2 seconds pass
    And 10 requests for "<route>" come in each second, for 1 seconds
    Then "<name>" has refused 2 requests

    Examples:
      | name | route  |
      | d1   | status |
      | d1   | order  |
      | a1   | draft  |

  Scenario Outline: If all upstreams want nothing, callers are told for how long
    When all upstreams refuse requests and want none for <seconds> seconds
    And 10 requests for "<route>" come in each second, for 1 seconds
    Then the last 5 are refused at once as not run, to come back after <seconds> seconds

    Examples:
      | route  | seconds |
      | status | 5       |
      | order  | 5       |
      | draft  | 5       |

  Scenario Outline: A time that can't be read or is absurd is logged and bounded
    When "d1" refuses requests and wants none for "<seconds>" seconds
    And 10 requests for "status" come in each second, for 1 seconds
    Then all of them are complete
    And the log names "<event>"

    Examples:
      | seconds                       | event             |
      | soon                          | HEADER_UNREADABLE |
      | -5                            | HEADER_UNREADABLE |
      | Wed, 21 Oct 2026 07:28:00 GMT | HEADER_UNREADABLE |
      | 99999999999999999999          | HEADER_UNREADABLE |
      | 999999999                     | UPSTREAM_BACK_OFF |

  Scenario: The longest of the times that an upstream named counts
    Then 300 random times of back-offs agree with a simple model
